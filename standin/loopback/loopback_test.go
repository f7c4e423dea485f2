package loopback

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"strconv"
	"testing"
)

// portsOfChild is the environment variable with the number of ports that the test process prints instead of testing.
const portsOfChild = "LOOPBACK_TEST_PORTS"

func TestMain(m *testing.M) {
	count, err := strconv.Atoi(os.Getenv(portsOfChild))
	if err != nil {
		os.Exit(m.Run())
	}
	for range count {
		address, err := FreeAddress()
		if err != nil {
			panic(err)
		}
		_, _ = os.Stdout.WriteString(address + "\n")
	}
	// The ports stay reserved until the parent closes the input.
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Guards against a port that two test processes assign at the same time, which fails the one that binds it later.
func TestConcurrentProcessesGetDifferentPorts(t *testing.T) {
	const processes, ports = 4, maxBlocks * (blockPorts - 1)
	taken := map[string]int{}
	for i := range processes {
		child := exec.Command(os.Args[0])
		child.Env = append(os.Environ(), portsOfChild+"="+strconv.Itoa(ports))
		input, err := child.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		output, err := child.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = input.Close()
			if err := child.Wait(); err != nil {
				t.Error(err)
			}
		})
		lines := bufio.NewScanner(output)
		for range ports {
			if !lines.Scan() {
				t.Fatalf("process %d printed too few addresses: %v", i, lines.Err())
			}
			if other, found := taken[lines.Text()]; found && other != i {
				t.Fatalf("%s was assigned to processes %d and %d", lines.Text(), other, i)
			}
			taken[lines.Text()] = i
		}
	}
}

// Guards against an assigned port that is in use.
func TestPortsAreUnusedAfterAllWereAssigned(t *testing.T) {
	held, err := Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	for range (maxBlocks + 1) * blockPorts {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if address == held.Addr().String() {
			t.Fatalf("%s is in use", address)
		}
	}
	if _, err := net.Dial("tcp4", held.Addr().String()); err != nil {
		t.Error(err)
	}
}
