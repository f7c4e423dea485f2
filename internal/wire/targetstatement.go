package wire

import (
	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// TargetStatements converts what targets have stated to messages.
func TargetStatements(updates []backpressure.Update) []*pb.TargetStatement {
	converted := make([]*pb.TargetStatement, len(updates))
	for i, update := range updates {
		converted[i] = &pb.TargetStatement{
			InstanceHash: update.Instance, Leaving: update.Leaving, Limited: update.Limited, Rate: update.Rate,
			AgeMs: update.Age.Milliseconds(),
		}
	}
	return converted
}

// TargetStatementsFrom converts messages to what targets have stated.
func TargetStatementsFrom(messages []*pb.TargetStatement) []backpressure.Update {
	converted := make([]backpressure.Update, len(messages))
	for i, m := range messages {
		converted[i] = backpressure.Update{
			Instance: m.GetInstanceHash(), Leaving: m.GetLeaving(), Limited: m.GetLimited(), Rate: m.GetRate(), Age: duration(m.GetAgeMs()),
		}
	}
	return converted
}
