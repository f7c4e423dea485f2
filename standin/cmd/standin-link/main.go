// Command standin-link runs a stand-in for links between zones.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/link"
)

type flags struct {
	Control      string   `arg:"--control" default:"127.0.0.1:0" help:"address of the control"`
	Routes       []string `arg:"--route,separate,required" help:"route as NAME=LISTEN=TO; may be repeated"`
	DelayMS      float64  `arg:"--delay-ms" help:"one-way delay"`
	JitterMS     float64  `arg:"--jitter-ms" help:"longest random addition to the delay"`
	Drop         float64  `arg:"--drop" help:"probability for each chunk that its connection is dropped"`
	Loss         float64  `arg:"--loss" help:"probability for each chunk that it is sent again"`
	RetransmitMS float64  `arg:"--retransmit-ms" default:"200" help:"delay of a chunk that is sent again"`
}

func main() {
	var f flags
	arg.MustParse(&f)
	config, err := f.config()
	if err != nil {
		logrus.WithError(err).Error("bad input")
		os.Exit(2)
	}
	os.Exit(backend.Main("link", link.New(config), f.Control))
}

func (f flags) config() (link.Config, error) {
	config := link.Config{Condition: link.Condition{
		DelayMS: f.DelayMS, JitterMS: f.JitterMS, Drop: f.Drop, Loss: f.Loss, RetransmitMS: f.RetransmitMS,
	}}
	for _, text := range f.Routes {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return config, fmt.Errorf("--route %q is not NAME=LISTEN=TO", text)
		}
		config.Routes = append(config.Routes, link.Route{Name: parts[0], Listen: parts[1], To: parts[2]})
	}
	return config, nil
}
