package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one child of the fleet.
type process struct {
	name    string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
	err     error
}

// ErrStillRunning is a process that did not exit in time.
var ErrStillRunning = errors.New("the process is still running")

func startProcess(directory, name, binary string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	command := exec.Command(binary, args...)
	command.Stdout = log
	command.Stderr = log
	// The child ends with the test, also when the test is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	p := &process{name: name, command: command, log: log, exited: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) error {
	return p.command.Process.Signal(s)
}

// wait waits for the exit and returns the exit code.
func (p *process) wait(limit time.Duration) (int, error) {
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(limit):
		return 0, fmt.Errorf("%s: %w", p.name, ErrStillRunning)
	}
}

// end kills the process if it still runs.
func (p *process) end() {
	_ = p.command.Process.Kill()
	<-p.exited
}
