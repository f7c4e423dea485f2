package wire

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// TicketGate converts a gate to a message. The zero Gate becomes nil.
func TicketGate(g ticket.Gate) *pb.GateRef {
	if g == (ticket.Gate{}) {
		return nil
	}
	return &pb.GateRef{Name: g.Name, Address: g.Address, Zone: g.Zone, Region: g.Region, Incarnation: g.Incarnation}
}

// TicketGateFrom converts a message to a gate. Nil becomes the zero Gate.
func TicketGateFrom(g *pb.GateRef) ticket.Gate {
	return ticket.Gate(GateFrom(g))
}

// Ran converts whether a request may have run to its enum value. Anything but No becomes RAN_UNKNOWN.
func Ran(ran reason.Ran) pb.Ran {
	if ran == reason.NotRun {
		return pb.Ran_RAN_NO
	}
	return pb.Ran_RAN_UNKNOWN
}

// RanFrom converts an enum value to whether a request may have run. Anything but RAN_NO becomes MayHaveRun.
func RanFrom(ran pb.Ran) reason.Ran {
	if ran == pb.Ran_RAN_NO {
		return reason.NotRun
	}
	return reason.MayHaveRun
}

// Result converts the result of a ticketed request to a message.
func Result(r atmostonce.Result) *pb.Answer {
	if r.Answer != nil {
		return &pb.Answer{Status: int32(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body}
	}
	return &pb.Answer{Refusal: &pb.Refusal{
		Reason:    string(r.Reason),
		Ran:       Ran(r.Ran),
		Elsewhere: r.Elsewhere,
		Heir:      TicketGate(r.Heir),
	}}
}

// ResultFrom converts a message to the result of a ticketed request.
func ResultFrom(a *pb.Answer) atmostonce.Result {
	if refusal := a.GetRefusal(); refusal != nil {
		return atmostonce.Result{
			Reason:    reason.Reason(refusal.Reason),
			Ran:       RanFrom(refusal.Ran),
			Elsewhere: refusal.Elsewhere,
			Heir:      TicketGateFrom(refusal.Heir),
		}
	}
	return atmostonce.Result{Answer: &atmostonce.Answer{
		Status:      int(a.GetStatus()),
		ContentType: a.GetContentType(),
		Body:        a.GetBody(),
	}}
}

// Verdict converts the reply to an intent to its enum value. Both types list the same values in the same order.
func Verdict(v atmostonce.Verdict) pb.IntentVerdict { return pb.IntentVerdict(v) }

// VerdictFrom converts an enum value to the reply to an intent. A value that is unknown to this version becomes
// IntentNotWitness, which forbids execution.
func VerdictFrom(v pb.IntentVerdict) atmostonce.Verdict {
	if v < 0 || v > pb.IntentVerdict_INTENT_OTHER_EXECUTOR {
		return atmostonce.IntentNotWitness
	}
	return atmostonce.Verdict(v)
}

// Records converts the ticket records of a handover to messages.
func Records(records []atmostonce.Record, codec *ticket.Codec) ([]*pb.TicketRecord, error) {
	converted := make([]*pb.TicketRecord, len(records))
	for i, record := range records {
		encoded, err := codec.Encode(record.Ticket)
		if err != nil {
			return nil, err
		}
		converted[i] = &pb.TicketRecord{
			Ticket:      encoded,
			State:       record.State,
			Executor:    record.Executor,
			Answer:      Result(record.Result),
			RemainingMs: record.Remaining.Milliseconds(),
		}
	}
	return converted, nil
}

// RecordsFrom converts messages to the ticket records of a handover. It returns an error if a ticket fails
// verification.
func RecordsFrom(records []*pb.TicketRecord, codec *ticket.Codec) ([]atmostonce.Record, error) {
	converted := make([]atmostonce.Record, len(records))
	for i, record := range records {
		decoded, err := codec.Decode(record.Ticket)
		if err != nil {
			return nil, err
		}
		converted[i] = atmostonce.Record{
			Ticket:    decoded,
			State:     record.State,
			Executor:  record.Executor,
			Result:    ResultFrom(record.Answer),
			Remaining: time.Duration(record.RemainingMs) * time.Millisecond,
		}
	}
	return converted, nil
}
