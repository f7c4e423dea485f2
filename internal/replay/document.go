package replay

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

// EngineVersion is the model version that a trace's engines serve.
const EngineVersion = "1"

// owner is the owner of all catalogue entries that are made from a trace.
const owner = "replay"

// pool bounds in the catalogue of a trace; they are above the traces' loads, so that load_multiple decides.
const (
	documentMaxInFlight = 64
	documentQueueLength = 64
	documentDeadline    = 30 * time.Second
)

// Document returns the catalogue of a deployment whose targets are at the given addresses.
func Document(d *Deployment, targets []Backend, revision uint64) ([]byte, error) {
	addresses := make(map[string]string, len(targets))
	for _, target := range targets {
		addresses[target.Name] = target.Address
	}
	c := catalogue.Catalogue{Revision: revision}
	for _, customer := range d.Customers {
		digest := sha256.Sum256([]byte(customer.Key))
		c.Customers = append(c.Customers, catalogue.Customer{
			Name: customer.Name, Owner: owner, Class: catalogue.Standard, Weight: 1,
			KeyDigests: []string{hex.EncodeToString(digest[:])},
		})
	}
	for i := range d.Pools {
		c.Pools = append(c.Pools, d.Pools[i].entry(addresses))
	}
	document, err := yaml.Marshal(c)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	_, err = catalogue.Parse(document)
	return document, trace.Wrap(err)
}

// entry returns the pool's entry of the catalogue.
func (p *Pool) entry(addresses map[string]string) catalogue.Pool {
	entry := catalogue.Pool{
		Name: p.Name, Owner: owner, Kind: p.Kind, Class: catalogue.Standard,
		LoadMultiple: orDefault(p.LoadMultiple, catalogue.DefaultLoadMultiple), ReuseWeight: p.ReuseWeight,
		SkewWeight: p.SkewWeight, ZoneWeight: catalogue.DefaultZoneWeight,
		QueueWait:   catalogue.Duration(catalogue.DefaultQueueWait),
		MaxInFlight: documentMaxInFlight, QueueLength: documentQueueLength,
		Deadline:      catalogue.Duration(documentDeadline),
		NonRepeatable: p.NonRepeatable, OutcomeQuery: true,
	}
	if p.Kind == catalogue.Model {
		entry.Version = EngineVersion
		entry.Resumable, entry.KVTransfer, entry.ChecksFencing = true, true, true
	}
	for _, target := range p.Targets {
		entry.Targets = append(entry.Targets, catalogue.Target{
			Name: target.Name, Address: addresses[target.Name], Zone: target.Zone, Role: targetRole(p.Kind),
		})
	}
	return entry
}

// orDefault returns the default for a value that the trace leaves out.
func orDefault(value, standard float64) float64 {
	if value == 0 {
		return standard
	}
	return value
}

func targetRole(kind catalogue.Kind) string {
	if kind == catalogue.Model {
		return "serve"
	}
	return ""
}
