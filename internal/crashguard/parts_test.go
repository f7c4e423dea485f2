package crashguard

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

const head, subject, deadly, otherSubject, ownZone, popular Part = 1, 2, 3, 4, 5, 6

type partEvent struct {
	at time.Duration
	// crash is the target that crashed; empty for an answer.
	crash    string
	answered bool
	refused  bool
	parts    []Part
}

func crashed(at time.Duration, target string, parts ...Part) partEvent {
	return partEvent{at: at, crash: target, parts: parts}
}

func answered(at time.Duration, parts ...Part) partEvent {
	return partEvent{at: at, answered: true, parts: parts}
}

func refusedElsewhere(at time.Duration, parts ...Part) partEvent {
	return partEvent{at: at, refused: true, parts: parts}
}

// Guards against refusing too much or too little: prompts that share all parts but the deadly one, and prompts that
// were waiting at crashed targets.
func TestPartRefusals(t *testing.T) {
	const s = time.Second
	deadlyPrompt := []Part{head, subject, deadly}
	threeCrashes := []partEvent{crashed(10*s, "a", deadlyPrompt...), crashed(11*s, "b", deadlyPrompt...), crashed(12*s, "c", deadlyPrompt...)}
	for _, test := range []struct {
		name   string
		events []partEvent
		// at is when the prompts are asked for; 13 s if it is zero.
		at      time.Duration
		refused [][]Part
		allowed [][]Part
	}{
		{
			name:    "prompts that crashed three targets",
			events:  threeCrashes,
			refused: [][]Part{deadlyPrompt, {head, subject, deadly, otherSubject}},
			allowed: [][]Part{{head}, {head, subject}, {head, deadly}, {otherSubject}, nil},
		},
		{
			name:    "two crashes",
			events:  threeCrashes[:2],
			allowed: [][]Part{deadlyPrompt},
		},
		{
			name:    "other parts differ",
			events:  []partEvent{crashed(10*s, "a", head, subject, deadly), crashed(11*s, "b", head, otherSubject, deadly), crashed(12*s, "c", deadly, ownZone)},
			refused: [][]Part{deadlyPrompt, {deadly}, {ownZone, deadly}},
			allowed: [][]Part{{head, subject}, {otherSubject}},
		},
		{
			name:    "other parts are answered before the third crash",
			events:  append(slices.Clone(threeCrashes[:2]), answered(11500*time.Millisecond, head, subject), threeCrashes[2]),
			refused: [][]Part{deadlyPrompt, {head, deadly}, {deadly}},
			allowed: [][]Part{{head, subject}},
		},
		{
			name:    "other parts are answered after the third crash",
			events:  append(slices.Clone(threeCrashes), answered(12500*time.Millisecond, head, subject)),
			refused: [][]Part{deadlyPrompt, {head, deadly}, {deadly}},
			allowed: [][]Part{{head, subject}},
		},
		{
			name:    "prompts without the common part crash targets too",
			events:  append(slices.Clone(threeCrashes), crashed(12500*time.Millisecond, "d", otherSubject, deadly)),
			refused: [][]Part{deadlyPrompt, {deadly}},
			allowed: [][]Part{{head, subject}, {otherSubject}},
		},
		{
			name:    "a part that is answered between crashes",
			events:  []partEvent{crashed(10*s, "a", head), answered(10500*time.Millisecond, head), crashed(13*s, "b", head), crashed(14*s, "c", head), answered(14500*time.Millisecond, head), crashed(17*s, "d", head)},
			at:      18 * s,
			allowed: [][]Part{{head}},
		},
		{
			name:    "a part of many requests, some of which wait at each crashed target",
			events:  []partEvent{answered(9*s, head), crashed(10*s, "a", head), crashed(10200*time.Millisecond, "b", head), crashed(10400*time.Millisecond, "c", head)},
			at:      10500 * time.Millisecond,
			allowed: [][]Part{{head}},
		},
		{
			name: "sound prompts wait at each crashed target and are reported first",
			events: []partEvent{
				crashed(10*s, "a", head, subject), crashed(10*s, "a", head, deadly), crashed(10200*time.Millisecond, "b", head, otherSubject),
				crashed(10200*time.Millisecond, "b", head, deadly), crashed(10400*time.Millisecond, "c", head, ownZone), crashed(10400*time.Millisecond, "c", head, deadly),
			},
			refused: [][]Part{{head, deadly}, {head, deadly, subject}},
			allowed: [][]Part{{head}, {head, subject}, {head, otherSubject}, {head, ownZone}},
		},
		{
			name: "sound prompts wait at each crashed target and are reported last",
			events: []partEvent{
				crashed(10*s, "a", head, deadly), crashed(10*s, "a", head, subject), crashed(10200*time.Millisecond, "b", head, deadly),
				crashed(10200*time.Millisecond, "b", head, otherSubject), crashed(10400*time.Millisecond, "c", head, deadly), crashed(10400*time.Millisecond, "c", head, ownZone),
			},
			refused: [][]Part{{head, deadly}, {head, deadly, subject}},
			allowed: [][]Part{{head}, {head, subject}, {head, otherSubject}, {head, ownZone}},
		},
		{
			name: "a popular prompt runs at the first crashes, not at the fourth",
			events: []partEvent{
				crashed(10*s, "a", head, popular), crashed(10*s, "a", head, deadly), crashed(11*s, "b", head, popular), crashed(11*s, "b", head, deadly),
				crashed(12*s, "c", head, popular), crashed(12*s, "c", head, deadly), crashed(12500*time.Millisecond, "d", head, deadly),
			},
			refused: [][]Part{{head, deadly}},
			allowed: [][]Part{{head, popular}, {head, subject}},
		},
		{
			name: "a popular prompt runs at each crash and is answered",
			events: []partEvent{
				crashed(10*s, "a", head, popular), crashed(10*s, "a", head, deadly), crashed(11*s, "b", head, popular), crashed(11*s, "b", head, deadly),
				crashed(12*s, "c", head, popular), crashed(12*s, "c", head, deadly), answered(12500*time.Millisecond, head, popular),
			},
			refused: [][]Part{{head, deadly}, {deadly}},
			allowed: [][]Part{{head, popular}, {head, subject}, {popular}},
		},
		{
			name: "two parts crash targets in turn",
			events: []partEvent{
				crashed(10*s, "a", head, deadly), crashed(10500*time.Millisecond, "b", head, ownZone), crashed(11*s, "c", head, deadly),
				crashed(11500*time.Millisecond, "d", head, ownZone), crashed(12*s, "e", head, deadly), answered(12200*time.Millisecond, head, subject),
				crashed(12500*time.Millisecond, "f", head, ownZone),
			},
			refused: [][]Part{{head, deadly}, {head, ownZone}},
			allowed: [][]Part{{head}, {head, subject}},
		},
		{
			name:    "all targets crash at once",
			events:  []partEvent{crashed(10*s, "a", head), crashed(10*s+time.Millisecond, "b", head), crashed(10*s+2*time.Millisecond, "c", head), crashed(10*s+3*time.Millisecond, "d", head)},
			allowed: [][]Part{{head}},
		},
		{
			name:    "several routers report one crash",
			events:  []partEvent{crashed(10*s, "a", head, deadly), crashed(10*s+120*time.Millisecond, "a", otherSubject, deadly), crashed(10*s+250*time.Millisecond, "a", deadly)},
			allowed: [][]Part{{deadly}},
		},
		{
			name:    "one target crashes again and again",
			events:  []partEvent{crashed(10*s, "a", deadly), crashed(14*s, "a", deadly), crashed(18*s, "a", deadly)},
			at:      19 * s,
			refused: [][]Part{{deadly}},
		},
		{
			name:    "end of the lifetime",
			events:  threeCrashes,
			at:      12*s + Lifetime,
			allowed: [][]Part{deadlyPrompt},
		},
		{
			name:    "refused by another router",
			events:  []partEvent{refusedElsewhere(12*s, subject, deadly)},
			refused: [][]Part{deadlyPrompt},
			allowed: [][]Part{{head, subject}, {deadly}},
		},
		{
			name:    "refused by another router, answered before",
			events:  []partEvent{answered(11*s, subject, deadly), refusedElsewhere(12*s, subject, deadly)},
			refused: [][]Part{deadlyPrompt},
		},
		{
			name:    "refused by another router, answered after",
			events:  []partEvent{refusedElsewhere(12*s, subject), answered(12500*time.Millisecond, subject), refusedElsewhere(12600*time.Millisecond, subject)},
			refused: [][]Part{{subject}}, // its age says that the refusal is newer
		},
	} {
		g := NewPartGuard()
		for _, event := range test.events {
			switch {
			case event.answered:
				g.Answered(event.at, event.parts)
			case event.refused:
				g.Refused(event.at, PartRefusal{Parts: event.parts})
			default:
				g.Crashed(event.at, PartCrash{Target: event.crash, Parts: event.parts})
			}
		}
		at := test.at
		if at == 0 {
			at = 13 * s
		}
		for _, parts := range test.refused {
			if !g.Refuses(at, parts) {
				t.Errorf("%s: prompt %v is not refused", test.name, parts)
			}
		}
		for _, parts := range test.allowed {
			if g.Refuses(at, parts) {
				t.Errorf("%s: prompt %v is refused", test.name, parts)
			}
		}
	}
}

// Guards against a router that keeps refusing a prompt although another one has seen its parts answered.
func TestAnswerElsewhereEndsRefusal(t *testing.T) {
	const s = time.Second
	a, b := NewPartGuard(), NewPartGuard()
	for i, target := range []string{"x", "y", "z"} {
		at := time.Duration(10+i) * s
		a.Crashed(at, PartCrash{Target: target, Parts: []Part{subject}})
	}
	b.Crashed(12*s, PartCrash{Target: "z", Parts: []Part{subject}})
	b.Answered(13*s, []Part{subject})
	refusals := a.Refusals(14*s, 8)
	if len(refusals) != 1 {
		t.Fatalf("refusals %v, want one", refusals)
	}
	answers, added := b.Refused(14*s, refusals[0])
	if added || len(answers) != 1 || answers[0] != (PartAnswer{Part: subject, Age: s}) {
		t.Fatalf("answers %v, added %v", answers, added)
	}
	a.AnsweredElsewhere(14*s, answers[0])
	if a.Refuses(15*s, []Part{subject}) || b.Refuses(15*s, []Part{subject}) {
		t.Error("the prompt is still refused")
	}
}

// Guards against refusals that routers keep alive among themselves after their end.
func TestRefusalEndsAlthoughRoutersRepeatIt(t *testing.T) {
	const transit = 40 * time.Millisecond
	a, b := NewPartGuard(), NewPartGuard()
	a.Refused(0, PartRefusal{Parts: []Part{deadly}})
	end := Lifetime + 5*time.Second
	for now := time.Duration(0); now < end; now += time.Second {
		for _, refusal := range a.Refusals(now, 8) {
			b.Refused(now+transit, refusal)
		}
		for _, refusal := range b.Refusals(now, 8) {
			a.Refused(now+transit, refusal)
		}
	}
	if a.Refuses(end, []Part{deadly}) || b.Refuses(end, []Part{deadly}) {
		t.Error("the prompt is refused after the lifetime")
	}
}

// Guards against state that grows without bound while many prompts crash targets.
func TestPartGuardIsBounded(t *testing.T) {
	g := NewPartGuard()
	random := rand.New(rand.NewSource(1))
	for i := range 20_000 {
		now := time.Duration(i) * 10 * time.Millisecond
		parts := []Part{Part(random.Intn(2000)), Part(random.Intn(2000))}
		switch random.Intn(3) {
		case 0:
			g.Answered(now, parts)
		case 1:
			g.Refused(now, PartRefusal{Parts: parts, Age: time.Duration(random.Intn(1000)) * time.Millisecond})
		default:
			g.Crashed(now, PartCrash{Target: fmt.Sprint(random.Intn(100)), Parts: parts})
		}
	}
	if len(g.crashes) > maxPartCrashes || len(g.refusals) > maxPartRefusals || len(g.recent.recent) > maxRecentAnswers || len(g.answered) > 2000 {
		t.Errorf("%d crashes, %d refusals, %d recent and %d answered parts", len(g.crashes), len(g.refusals), len(g.recent.recent), len(g.answered))
	}
}
