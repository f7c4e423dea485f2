package ownership

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Mode says how much this gate may admit to a target.
type Mode uint8

// Modes of admission.
const (
	// None admits nothing.
	None Mode = iota
	// Full admits up to the limit, less the external work.
	Full
	// Contested admits up to half of the limit: a gate that can't be heard may have taken the target over.
	Contested
	// Probation admits up to half of what the limit leaves beside the work on the other side.
	Probation
)

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"none", "full", "contested", "probation"}[m]
}

// Permission is what this gate may admit to one target.
type Permission struct {
	Mode Mode
	// Reason is the refusal's reason where the limit leaves nothing.
	Reason reason.Reason
	// LeaseEnd is the time from which the permission is void.
	LeaseEnd time.Duration
	// External bounds the work at the target that is not this gate's own.
	External int
	// Leftover bounds the part of External that counts against this gate's own share: handed-over work, and
	// work of dead gates.
	Leftover int
}

// Valid says whether the lease still holds. It is checked again just before the write to the target.
func (p Permission) Valid(now time.Duration) bool {
	return p.Mode != None && now < p.LeaseEnd
}

// Limit returns how many requests of this gate may be in flight at once, given the pool's limit.
//
// The contested side rounds up and the side on probation rounds down. If both rounded up, two sides could
// exceed an odd limit by one.
func (p Permission) Limit(limit int) int {
	switch p.Mode {
	case Full:
		return max(0, limit-p.External)
	case Contested:
		return max(0, (limit+1)/2-p.Leftover)
	case Probation:
		other := max(0, p.External-p.Leftover)
		return max(0, max(0, limit-other)/2-p.Leftover)
	}
	return 0
}

// Snapshot holds the permissions for all targets. It is immutable.
type Snapshot struct {
	permissions map[string]Permission
}

// Permission returns the permission for a target.
func (s *Snapshot) Permission(target string) Permission {
	if p, ok := s.permissions[target]; ok {
		return p
	}
	return Permission{Reason: reason.NotOwner}
}
