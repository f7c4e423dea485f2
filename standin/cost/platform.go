package cost

import (
	"encoding/json"
	"net/http"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// platformReads returns the reads that the platform's stand-in has counted.
func platformReads(running *fleet.Fleet) (float64, error) {
	response, err := http.Get("http://" + running.Platform() + "/standin/reads")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var reads struct {
		Config float64 `json:"config"`
		VMs    float64 `json:"vms"`
	}
	err = json.NewDecoder(response.Body).Decode(&reads)
	return reads.Config + reads.VMs, err
}
