package cost

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// ticksPerSecond is the unit of processor times in /proc.
const ticksPerSecond = 100

// sample is the state of one daemon at one time.
type sample struct {
	bytes    float64
	cpu      float64
	memoryKB float64
}

func take(running *fleet.Fleet, name string) (sample, error) {
	var s sample
	var err error
	if s.bytes, err = counterSum(running.AdminURL(name)+"/metrics", "amaranth_control_bytes_total"); err != nil {
		return s, err
	}
	if s.cpu, err = processorSeconds(running.PID(name)); err != nil {
		return s, err
	}
	s.memoryKB, err = residentKB(running.PID(name))
	return s, err
}

// counterSum adds up the values of a counter with all its labels.
func counterSum(location, name string) (float64, error) {
	response, err := http.Get(location)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), name) {
			continue
		}
		fields := strings.Fields(lines.Text())
		value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
		if err != nil {
			return 0, err
		}
		sum += value
	}
	return sum, lines.Err()
}

// processorSeconds returns the user and system time of a process.
func processorSeconds(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the command in parentheses; user and system time are the 14th and 15th field.
	text := string(content)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond, err
}

func residentKB(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseFloat(strings.Fields(value)[0], 64)
		}
	}
	return 0, fmt.Errorf("process %d has no VmRSS line", pid)
}

// loadAverage returns the machine's load average over a minute, by which a reader can judge the other figures.
func loadAverage() float64 {
	content, _ := os.ReadFile("/proc/loadavg")
	value, _, _ := strings.Cut(string(content), " ")
	average, _ := strconv.ParseFloat(value, 64)
	return average
}
