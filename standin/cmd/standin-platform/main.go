// Command standin-platform runs a stand-in for the platform: configuration service, VM list, balancer.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/platform"
)

type flags struct {
	Listen         string        `arg:"--listen" default:"127.0.0.1:0" help:"address of the configuration service and VM list"`
	Balancer       string        `arg:"--balancer" help:"address of the balancer; none without it"`
	Config         []string      `arg:"--config,separate" help:"initial value as KEY=FILE; may be repeated"`
	VMs            string        `arg:"--vms" help:"file with the initial VM list, as JSON with the field vms"`
	ReadsPerSecond int           `arg:"--reads-per-second" default:"2000" help:"read budget across all readers"`
	VMLag          time.Duration `arg:"--vm-lag" default:"0s" help:"lag of the VM list"`
}

func main() {
	var f flags
	arg.MustParse(&f)
	config, err := f.config()
	if err != nil {
		logrus.WithError(err).Error("bad input")
		os.Exit(2)
	}
	p := platform.New(config)
	code := backend.Main("platform", p, f.Listen)
	os.Exit(code)
}

func (f flags) config() (platform.Config, error) {
	config := platform.Config{
		ReadsPerSecond:  f.ReadsPerSecond,
		VMLag:           f.VMLag,
		BalancerAddress: f.Balancer,
		Documents:       make(map[string][]byte),
	}
	for _, pair := range f.Config {
		key, file, found := strings.Cut(pair, "=")
		if !found {
			return config, fmt.Errorf("--config %q is not KEY=FILE", pair)
		}
		body, err := os.ReadFile(file)
		if err != nil {
			return config, err
		}
		config.Documents[key] = body
	}
	if f.VMs == "" {
		return config, nil
	}
	list, err := readVMs(f.VMs)
	config.VMs = list.VMs
	return config, err
}

func readVMs(file string) (platform.VMList, error) {
	var list platform.VMList
	body, err := os.ReadFile(file)
	if err != nil {
		return list, err
	}
	err = json.Unmarshal(body, &list)
	return list, err
}
