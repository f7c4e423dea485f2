package main

import (
	"testing"

	"github.com/amaranthlb/amaranthlb/platform"
)

// Guards against a bound on connections that is above what the VM has room for, or that exists where the settings state
// nothing.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct{ memoryMB, descriptors, want int }{
		{0, 0, 0}, {136, 0, 870}, {0, 2870, 2136}, {136, 2870, 870}, {536, 2870, 2136}, {64, 400, 160}, {136, 150, 870},
	} {
		if got := maxConnections(&platform.Settings{MemoryMB: c.memoryMB, MaxDescriptors: c.descriptors}); got != c.want {
			t.Errorf("%d MB, %d descriptors: %d connections, want %d", c.memoryMB, c.descriptors, got, c.want)
		}
	}
}

// Guards against a limit of descriptors in the settings that is not read.
func TestDescriptorsAreReadFromTheSettings(t *testing.T) {
	settings, err := platform.ParseSettings([]byte("node = \"a\"\nport-range = [1, 2]\n[listen]\nfront = \"a:1\"\nready = \"a:2\"\ncontrol = \"a:3\"\n[platform]\naddr = \"a:4\"\n[limits]\nmemory-mb = 136\nmax-fds = 2870\n"))
	if err != nil || settings.MaxDescriptors != 2870 || settings.MemoryMB != 136 {
		t.Errorf("got %+v, %v", settings, err)
	}
}
