package ggsnode_test

import (
	"context"
	"os"
	"os/exec" //nolint:depguard // the test signals a real process; the product starts none
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a SIGHUP that ends the process, because it arrives before the process
// installs its handler.
func TestHangupWhileStartingDoesNotEndTheProcess(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), soakRecoveryBound)
	defer cancel()
	// The process blocks on reading the FIFO until the test writes the settings.
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	c.Assert(syscall.Mkfifo(settings, 0o600), qt.IsNil)
	cmd := exec.CommandContext(ctx, os.Args[0])
	cmd.Env = append(os.Environ(), programVariable+"="+edgeProgram, "GREENGAGESLIP_NODE_FILE="+settings)
	_, err := cmd.StdinPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	f, err := os.OpenFile(settings, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	_, err = f.WriteString("nodeName: [\n")
	c.Assert(err, qt.IsNil)
	c.Assert(f.Close(), qt.IsNil)
	_ = cmd.Wait() // the exit code is checked below
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 2)
}
