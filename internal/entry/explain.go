package entry

import (
	"encoding/json"
	"net/http"

	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// Explanation describes which target a request would be sent to and by which rule.
type Explanation struct {
	Pool     string `json:"pool"`
	Revision uint64 `json:"catalogue_revision"`
	Limit    int32  `json:"limit"`
	// Choice is the chosen target; it is empty when no target is open.
	Choice string `json:"choice"`
	Rule   Rule   `json:"why"`
	// Candidates are the targets of the pool, ordered by rank.
	Candidates []ExplainedCandidate `json:"candidates"`
}

// ExplainedCandidate is the state of one target as known to the entry.
type ExplainedCandidate struct {
	Rank     int    `json:"rank"`
	Target   string `json:"target"`
	Distance string `json:"distance"`
	Load     int32  `json:"load"`
	Open     bool   `json:"open"`
	// Owner is the gate that admits requests to the target; it is empty when no gate is live.
	Owner  string `json:"owner"`
	Holder bool   `json:"holder"`
}

// Rule is the routing rule that determined the choice.
type Rule string

// Routing rules.
const (
	// RuleHolder means the target that holds the chat's prefix.
	RuleHolder Rule = "holder"
	// RuleFirstRank means the first target by rank that is open and below its limit.
	RuleFirstRank Rule = "first_rank"
	// RuleLessLoaded means the second such target, whose load is lower than that of the first.
	RuleLessLoaded Rule = "less_loaded"
	// RuleAllAtLimit means the least loaded open target, where the request is queued.
	RuleAllAtLimit Rule = "all_at_limit"
	// RuleNoneOpen means that no target accepts new requests.
	RuleNoneOpen Rule = "none_open"
)

// explain handles /explain on the admin endpoint.
func (e *Entry) explain(w http.ResponseWriter, r *http.Request) {
	snapshot := e.snapshot.Load()
	if snapshot == nil {
		http.Error(w, "no catalogue and view yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	routes, ok := snapshot.Routes.Pool(query.Get("pool"))
	if !ok {
		http.Error(w, "the catalogue has no pool "+query.Get("pool"), http.StatusNotFound)
		return
	}
	holder := routing.NoHolder
	if name := query.Get("holder"); name != "" {
		if holder, ok = routes.Index(name); !ok {
			http.Error(w, "pool "+routes.Pool.Name+" has no target "+name, http.StatusNotFound)
			return
		}
	}
	customer := query.Get("customer")
	if _, ok := snapshot.Catalogue.Customer(customer); customer != "" && !ok {
		http.Error(w, "the catalogue has no customer "+customer, http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explanation(snapshot, routes, callerKey(customer, query.Get("chat")), holder))
}

// explanation selects a target as for a real request and describes the candidates.
func explanation(snapshot *Snapshot, routes *routing.Pool, key string, holder int) Explanation {
	request := &request{pool: routes.Pool, chatHash: chatHash(key), holder: holder}
	ranks := routes.Rank(request.chatHash)
	result := Explanation{Pool: routes.Pool.Name, Revision: snapshot.Catalogue.Revision, Limit: routes.Limit}
	position, ok := choose(request, routes, &routing.Tried{})
	room := ok && routes.Candidates[position].Load() < routes.Limit
	if ok {
		result.Choice = routes.Candidates[position].Target.Name
	}
	result.Rule = ruleFor(routes, ranks, holder, position, room, ok)
	for i, position := range ranks {
		candidate := &routes.Candidates[position]
		owner, _ := ownership.Owner(snapshot.View, candidate.Target.Name, candidate.Target.Zone)
		result.Candidates = append(result.Candidates, ExplainedCandidate{
			Rank:     i + 1,
			Target:   candidate.Target.Name,
			Distance: candidate.Distance.String(),
			Load:     candidate.Load(),
			Open:     candidate.Open,
			Owner:    owner.Name,
			Holder:   position == holder,
		})
	}
	return result
}

// ruleFor returns the rule that determined a choice.
func ruleFor(routes *routing.Pool, ranks []int, holder, chosen int, room, ok bool) Rule {
	switch {
	case !ok:
		return RuleNoneOpen
	case !room:
		return RuleAllAtLimit
	case chosen == holder:
		return RuleHolder
	}
	for _, position := range ranks {
		candidate := &routes.Candidates[position]
		if position != holder && candidate.Open && candidate.Load() < routes.Limit {
			if position == chosen {
				return RuleFirstRank
			}
			break
		}
	}
	return RuleLessLoaded
}
