package crashguard

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// crashPlay plays a fleet of engines that serve prompts, some of which have a part that crashes each engine that begins to
// answer them. All routers know the same.
type crashPlay struct {
	engines int
	// soundRate and deadlyRate are requests a second. Deadly ones come from deadlyFrom, and are harmless from curedFrom.
	soundRate, deadlyRate float64
	deadlyFrom, curedFrom time.Duration
	// heads and subjects are the numbers of different parts that prompts begin with; the deadly part follows a head.
	heads, subjects int
	// popular adds a sound prompt of the same parts that always waits at each engine.
	popular bool
	// ownCrashes is how often engines crash by themselves.
	ownCrashes time.Duration
	// restartAt is when all routers but one start again.
	restartAt time.Duration
}

const (
	playLength  = 90 * time.Second
	playPrefill = 500 * time.Millisecond
	playRestart = 2 * time.Second
	// touchTime is stable-window-ms of the platform, from which its bounds follow.
	touchTime = 3 * time.Second
)

type playedPrompt struct {
	parts         []Part
	at            time.Duration
	engine        int
	deadly, trial bool
	begun, ended  bool
}

// run returns the sound and the deadly prompts in order of arrival, and the times of crashes.
func (p crashPlay) run(seed int64) (sound, deadly []*playedPrompt, crashes []time.Duration) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewSource(seed))
	g := NewPartGuard()
	up := make([]time.Duration, p.engines)
	var running []*playedPrompt
	arrive := func(now time.Duration, engine int, isDeadly bool, parts ...Part) {
		prompt := &playedPrompt{parts: parts, at: now, engine: engine, deadly: isDeadly}
		if isDeadly {
			deadly = append(deadly, prompt)
		} else {
			sound = append(sound, prompt)
		}
		if g.Refuses(now, parts) {
			if prompt.trial = g.StartTrial(now, 0, parts); !prompt.trial {
				return
			}
		}
		if now < up[prompt.engine] {
			if prompt.trial {
				g.CancelTrial(now, parts)
			}
			return
		}
		prompt.begun = true
		running = append(running, prompt)
	}
	crash := func(now time.Duration, engine int) {
		up[engine] = now + playRestart
		var lost []*playedPrompt
		for _, prompt := range running {
			if prompt.engine == engine && !prompt.ended {
				prompt.ended = true
				lost = append(lost, prompt)
			}
		}
		random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
		for _, prompt := range lost {
			g.Crashed(now, PartCrash{Target: fmt.Sprint(engine), Parts: prompt.parts})
			if prompt.trial {
				g.TrialFailed(now, prompt.parts)
			}
		}
	}
	for now := time.Duration(0); now < playLength; now += step {
		if p.restartAt > 0 && now == p.restartAt {
			started := NewPartGuard()
			for _, refusal := range g.Refusals(now, 8) {
				started.Refused(now, refusal)
			}
			g = started
		}
		if p.ownCrashes > 0 && now > p.deadlyFrom && now%p.ownCrashes == 0 {
			crash(now, random.Intn(p.engines))
		}
		for _, prompt := range slices.Clone(running) {
			if prompt.ended || now < prompt.at+playPrefill {
				continue
			}
			if !prompt.deadly || now >= p.curedFrom {
				prompt.ended = true
				g.Answered(now, prompt.parts)
				continue
			}
			crashes = append(crashes, now)
			crash(now, prompt.engine)
		}
		running = slices.DeleteFunc(running, func(prompt *playedPrompt) bool { return prompt.ended })
		if random.Float64() < p.soundRate*step.Seconds() {
			arrive(now, random.Intn(p.engines), false, Part(1000+random.Intn(p.heads)), Part(2000+random.Intn(p.subjects)))
		}
		if now >= p.deadlyFrom && random.Float64() < p.deadlyRate*step.Seconds() {
			arrive(now, random.Intn(p.engines), true, Part(1000+random.Intn(p.heads)), deadly0)
		}
		if p.popular && now%(playPrefill/2) == 0 {
			for engine := range p.engines {
				arrive(now, engine, false, 1000, popular)
			}
		}
	}
	return sound, deadly, crashes
}

// deadly0 is the part that crashes engines.
const deadly0 Part = 666

// Guards against deadly prompts that go on crashing engines, and against sound prompts that are refused for what they share
// with them, or because they always wait at engines that crash: by routers that have seen the crashes and by others.
func TestDeadlyPromptsAreContainedAndSoundOnesServed(t *testing.T) {
	// The platform compares the shares of at least so many sound prompts.
	const enough = 20
	const seeds, allowed = 40, 3
	base := crashPlay{
		engines: 3, soundRate: 4, deadlyRate: 1.5, deadlyFrom: 20 * time.Second, curedFrom: playLength, heads: 1, subjects: 200,
	}
	for name, change := range map[string]func(*crashPlay){
		"all share their first part":      func(*crashPlay) {},
		"few sound prompts":               func(p *crashPlay) { p.soundRate = 0.7 },
		"several first parts":             func(p *crashPlay) { p.heads = 4 },
		"a popular prompt waits anywhere": func(p *crashPlay) { p.popular = true },
		"popular subjects":                func(p *crashPlay) { p.subjects = 3 },
		"many engines":                    func(p *crashPlay) { p.engines, p.soundRate, p.deadlyRate = 18, 20, 3 },
		"engines crash by themselves":     func(p *crashPlay) { p.ownCrashes = 7 * time.Second },
		"they crash, few sound prompts":   func(p *crashPlay) { p.ownCrashes, p.soundRate = 11*time.Second, 0.7 },
		"routers start again":             func(p *crashPlay) { p.restartAt = 40 * time.Second },
		"routers start again, popular":    func(p *crashPlay) { p.restartAt, p.popular = 24*time.Second, true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(seeds) {
				p := base
				change(&p)
				sound, deadly, crashes := p.run(seed)
				if len(crashes) == 0 {
					t.Fatalf("seed %d: no crash", seed)
				}
				if len(crashes) > 5 {
					late := 0
					for _, prompt := range deadly {
						if prompt.begun && prompt.at > crashes[4]+touchTime {
							late++
						}
					}
					if late > allowed {
						t.Errorf("seed %d: %d deadly prompts reached engines after the fifth crash, want at most %d", seed, late, allowed)
					}
				}
				before, _ := begunShare(sound, func(at time.Duration) bool { return at < crashes[0]-playPrefill })
				after, count := begunShare(sound, func(at time.Duration) bool { return at > crashes[min(len(crashes), 5)-1]+2*touchTime })
				if count >= enough && after < before/2 {
					t.Errorf("seed %d: %.2f of the sound prompts begin after the crashes, %.2f before", seed, after, before)
				}
			}
		})
	}
}

// Guards against prompts that are refused for long after their cause is gone.
func TestCuredPromptsAreServedAgain(t *testing.T) {
	for seed := range int64(40) {
		p := crashPlay{
			engines: 6, soundRate: 4, deadlyRate: 2, deadlyFrom: 10 * time.Second, curedFrom: 15 * time.Second, heads: 1, subjects: 50,
		}
		_, deadly, crashes := p.run(seed)
		latest := crashes[len(crashes)-1]
		share, _ := begunShare(deadly, func(at time.Duration) bool { return at > latest+2*FirstTrialDelay })
		if share < 0.9 {
			t.Errorf("seed %d: %.2f of the prompts begin after the cause is gone", seed, share)
		}
	}
}

// begunShare returns the share of some prompts that reached an engine, and their number.
func begunShare(prompts []*playedPrompt, counts func(at time.Duration) bool) (share float64, all int) {
	begun := 0
	for _, prompt := range prompts {
		if counts(prompt.at) {
			all++
			if prompt.begun {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(all, 1)), all
}
