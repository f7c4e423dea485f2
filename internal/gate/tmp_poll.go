package gate

import (
	"context"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ownership"
)

func (g *Gate) tmpPoll(ctx context.Context) {
	for ctx.Err() == nil {
		if s := g.snapshot.Load(); s != nil {
			for name := range s.Owned {
				t, _ := s.Catalogue.Target(name)
				go func() {
					sent := g.clock.Now()
					own := 0
					for _, c := range g.admission.inFlight(name) {
						own += c.Count
					}
					st, err := g.targets.Status(ctx, t.Address)
					if err != nil {
						return
					}
					g.loop.Post(func(now time.Duration) {
						g.stepOwners(now, ownership.EngineReport{Target: name, Load: st.Load, Own: min(own, st.Load), Measured: sent - st.Age()})
					})
				}()
			}
		}
		sleep(ctx, 300*time.Millisecond)
	}
}
