package wire

import (
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/place"
)

// TargetContacts converts attempts to reach targets to messages. Ages are rounded up, so that an attempt never appears
// newer than it is.
func TargetContacts(contacts []place.Contact) []*pb.TargetContact {
	converted := make([]*pb.TargetContact, len(contacts))
	for i, contact := range contacts {
		converted[i] = &pb.TargetContact{
			InstanceHash: contact.Instance, AgeMs: uint32(ceilMilliseconds(contact.Age)), Reached: contact.Reached,
		}
	}
	return converted
}

// TargetContactsFrom converts messages to attempts to reach targets.
func TargetContactsFrom(messages []*pb.TargetContact) []place.Contact {
	converted := make([]place.Contact, len(messages))
	for i, m := range messages {
		converted[i] = place.Contact{
			Instance: m.GetInstanceHash(), Age: duration(int64(m.GetAgeMs())), Reached: m.GetReached(),
		}
	}
	return converted
}
