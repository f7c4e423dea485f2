package wire

import (
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// PromptCrashes converts reports of crashes to messages.
func PromptCrashes(reports []crashguard.PartCrash) []*pb.PromptCrash {
	converted := make([]*pb.PromptCrash, len(reports))
	for i, report := range reports {
		converted[i] = &pb.PromptCrash{Target: report.Target, Parts: partHashes(report.Parts), AgeMs: report.Age.Milliseconds()}
	}
	return converted
}

// PromptCrashesFrom converts messages to reports of crashes.
func PromptCrashesFrom(messages []*pb.PromptCrash) []crashguard.PartCrash {
	converted := make([]crashguard.PartCrash, len(messages))
	for i, m := range messages {
		converted[i] = crashguard.PartCrash{Target: m.GetTarget(), Parts: partsFrom(m.GetParts()), Age: duration(m.GetAgeMs())}
	}
	return converted
}

// RefusedPrompts converts refusals to messages.
func RefusedPrompts(refusals []crashguard.PartRefusal) []*pb.RefusedPrompt {
	converted := make([]*pb.RefusedPrompt, len(refusals))
	for i, refusal := range refusals {
		converted[i] = &pb.RefusedPrompt{
			Parts: partHashes(refusal.Parts), AgeMs: refusal.Age.Milliseconds(), Trials: trials(refusal.Trials),
		}
	}
	return converted
}

// RefusedPromptsFrom converts messages to refusals.
func RefusedPromptsFrom(messages []*pb.RefusedPrompt) []crashguard.PartRefusal {
	converted := make([]crashguard.PartRefusal, len(messages))
	for i, m := range messages {
		converted[i] = crashguard.PartRefusal{
			Parts: partsFrom(m.GetParts()), Age: duration(m.GetAgeMs()), Trials: trialsFrom(m.GetTrials()),
		}
	}
	return converted
}

// RefusedRequests converts refusals to messages.
func RefusedRequests(refusals []crashguard.RequestRefusal) []*pb.RefusedRequest {
	converted := make([]*pb.RefusedRequest, len(refusals))
	for i, refusal := range refusals {
		converted[i] = &pb.RefusedRequest{
			Digest: uint64(refusal.Digest), AgeMs: refusal.Age.Milliseconds(), Trials: trials(refusal.Trials),
		}
	}
	return converted
}

// RefusedRequestsFrom converts messages to refusals.
func RefusedRequestsFrom(messages []*pb.RefusedRequest) []crashguard.RequestRefusal {
	converted := make([]crashguard.RequestRefusal, len(messages))
	for i, m := range messages {
		converted[i] = crashguard.RequestRefusal{
			Digest: crashguard.Digest(m.GetDigest()), Age: duration(m.GetAgeMs()), Trials: trialsFrom(m.GetTrials()),
		}
	}
	return converted
}

// AnsweredRequests converts answers to messages.
func AnsweredRequests(answers []crashguard.RequestAnswer) []*pb.AnsweredRequest {
	converted := make([]*pb.AnsweredRequest, len(answers))
	for i, answer := range answers {
		converted[i] = &pb.AnsweredRequest{Digest: uint64(answer.Digest), AgeMs: answer.Age.Milliseconds()}
	}
	return converted
}

// AnsweredRequestsFrom converts messages to answers.
func AnsweredRequestsFrom(messages []*pb.AnsweredRequest) []crashguard.RequestAnswer {
	converted := make([]crashguard.RequestAnswer, len(messages))
	for i, m := range messages {
		converted[i] = crashguard.RequestAnswer{Digest: crashguard.Digest(m.GetDigest()), Age: duration(m.GetAgeMs())}
	}
	return converted
}

func trials(state crashguard.TrialState) *pb.Trials {
	return &pb.Trials{Started: uint32(state.Started), Failed: uint32(state.Failed), AgeMs: state.Age.Milliseconds()}
}

func trialsFrom(m *pb.Trials) crashguard.TrialState {
	return crashguard.TrialState{Started: int(m.GetStarted()), Failed: int(m.GetFailed()), Age: duration(m.GetAgeMs())}
}

// AnsweredParts converts answers to messages.
func AnsweredParts(answers []crashguard.PartAnswer) []*pb.AnsweredPart {
	converted := make([]*pb.AnsweredPart, len(answers))
	for i, answer := range answers {
		converted[i] = &pb.AnsweredPart{Part: uint64(answer.Part), AgeMs: answer.Age.Milliseconds()}
	}
	return converted
}

// AnsweredPartsFrom converts messages to answers.
func AnsweredPartsFrom(messages []*pb.AnsweredPart) []crashguard.PartAnswer {
	converted := make([]crashguard.PartAnswer, len(messages))
	for i, m := range messages {
		converted[i] = crashguard.PartAnswer{Part: crashguard.Part(m.GetPart()), Age: duration(m.GetAgeMs())}
	}
	return converted
}

func partHashes(parts []crashguard.Part) []uint64 {
	hashes := make([]uint64, len(parts))
	for i, part := range parts {
		hashes[i] = uint64(part)
	}
	return hashes
}

func partsFrom(hashes []uint64) []crashguard.Part {
	parts := make([]crashguard.Part, 0, min(len(hashes), crashguard.MaxPromptParts))
	for _, hash := range hashes[:cap(parts)] {
		parts = append(parts, crashguard.Part(hash))
	}
	return parts
}
