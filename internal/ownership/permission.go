package ownership

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Mode determines how much a gate may admit to a target.
type Mode uint8

// Modes of admission.
const (
	// None admits nothing.
	None Mode = iota
	// Full admits up to the limit less the external work.
	Full
	// Contested admits up to half of the limit, because a gate that cannot be heard from may have taken over the
	// target.
	Contested
	// Probation admits up to half of what the work of the other partition leaves of the limit.
	Probation
)

func (m Mode) String() string {
	return [...]string{"none", "full", "contested", "probation"}[m]
}

// Permission is what a gate may admit to one target.
type Permission struct {
	Mode Mode
	// Reason is the refusal reason given when the limit leaves no capacity.
	Reason reason.Reason
	// LeaseEnd is the time from which the permission is no longer valid.
	LeaseEnd time.Duration
	// External bounds the target's work that does not belong to this gate.
	External int
	// Residual bounds the part of External that counts against this gate's own share: handed-over work and work of dead
	// gates.
	Residual int
}

// Valid reports whether the lease still holds. Callers check it again just before writing to the target.
func (p Permission) Valid(now time.Duration) bool {
	return p.Mode != None && now < p.LeaseEnd
}

// Limit returns how many requests this gate may have in flight, given the pool's limit.
//
// The contested side rounds up and the side on probation rounds down. If both rounded up, together they could exceed an
// odd limit by one.
func (p Permission) Limit(limit int) int {
	switch p.Mode {
	case Full:
		return max(0, limit-p.External)
	case Contested:
		return max(0, (limit+1)/2-p.Residual)
	case Probation:
		other := max(0, p.External-p.Residual)
		return max(0, max(0, limit-other)/2-p.Residual)
	}
	return 0
}

// Snapshot is an immutable set of the permissions for all targets.
type Snapshot struct {
	permissions map[string]Permission
}

// Permission returns the permission for a target. Unknown targets get one that admits nothing.
func (s *Snapshot) Permission(target string) Permission {
	if p, ok := s.permissions[target]; ok {
		return p
	}
	return Permission{Reason: reason.NotOwner}
}
