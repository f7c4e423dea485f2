package place

import "testing"

// Guards against answers that cross zones although the prompt is cached in the caller's zone, or is so short for its
// answer that a copy costs less; and against a zone whose engines are overloaded for the sake of locality. Engine i is
// in zone i modulo 3.
func TestPromptsStayInTheZone(t *testing.T) {
	const long, short = 8000, 600
	for name, c := range map[string]struct {
		tokens, answer int
		holders        []string
		busy           []string
		want           func(target string) bool
	}{
		"a local holder precedes an idler remote one": {long, 50, []string{"t1", "t3"}, nil, is("t3")},
		"a long prompt runs where it is":              {long, 50, []string{"t1"}, nil, is("t1")},
		"a short prompt gets a copy in the zone":      {short, 300, []string{"t1"}, nil, is("t0", "t3", "t6", "t9")},
		"a short prompt with a short answer does not": {short, 20, []string{"t1"}, nil, is("t1")},
		"an answer of unknown size":                   {short, 0, []string{"t1"}, nil, is("t1")},
		"the zone is overloaded":                      {short, 300, []string{"t1"}, []string{"t0", "t3", "t6", "t9"}, is("t1")},
		"nobody has a short prompt":                   {short, 300, nil, nil, is("t0", "t3", "t6", "t9")},
	} {
		t.Run(name, func(t *testing.T) {
			p := picture(12, 64)
			q := query(7, c.tokens)
			q.AnswerTokens = c.answer
			for _, id := range c.holders {
				p.Start(second, Choice{Target: p.byID[id].target}, q.Prompt)
				p.End(id, second, Good, second)
			}
			p.byID["t3"].own++
			occupy(p, 40, c.busy...)
			if got := choose(t, p, second, q); !c.want(got.Target.ID) {
				t.Errorf("got %s", got.Target.ID)
			}
		})
	}
}

func is(ids ...string) func(string) bool {
	return func(target string) bool {
		for _, id := range ids {
			if id == target {
				return true
			}
		}
		return false
	}
}
