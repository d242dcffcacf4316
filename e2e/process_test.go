package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// command returns a command whose process is in a process group of its own and is killed
// when the test's process ends.
//
// If a process group loses its last connection to its session, as that of tests in the
// background does when their shell exits, the kernel continues all of its processes if
// one is stopped.
func command(name string, args ...string) *exec.Cmd {
	c := exec.Command(name, args...)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return c
}

// threadsStopped returns an error unless all threads of a process are stopped. The state
// is the field after the name in parentheses.
func threadsStopped(pid int) error {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("no threads found: %v", err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if _, state, _ := bytes.Cut(stat, []byte(") ")); !bytes.HasPrefix(state, []byte("T")) {
			return fmt.Errorf("%s: %s", file, stat)
		}
	}
	return nil
}

// roleVariable makes the test binary a process of TestStoppedProcessStaysStopped.
const roleVariable = "GULLHAVEN_E2E_ROLE"

const (
	// roleShell starts a runner in its process group and ends when that has stopped a process.
	roleShell = "shell"
	// roleRunner starts and stops a process, and ends when its input does.
	roleRunner = "runner"
)

// play plays a role and returns the exit code.
func play(role string) int {
	run := runShell
	if role == roleRunner {
		run = runRunner
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, role, err)
		return 1
	}
	return 0
}

// asRole returns a command that runs the test binary in a role.
func asRole(role string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := exec.Command(self)
	c.Env = append(os.Environ(), roleVariable+"="+role)
	c.Stderr = os.Stderr
	return c, nil
}

func runShell() error {
	runner, err := asRole(roleRunner)
	if err != nil {
		return err
	}
	runner.Stdin = os.Stdin
	out, err := runner.StdoutPipe()
	if err != nil {
		return err
	}
	if err := runner.Start(); err != nil {
		return err
	}
	pid, err := bufio.NewReader(out).ReadString('\n')
	fmt.Print(pid)
	return err
}

func runRunner() error {
	// As under nohup; otherwise the hangup of its group ends the stopped process.
	signal.Ignore(syscall.SIGHUP)
	stopped := command("sleep", strconv.Itoa(int(waitTimeout.Seconds())))
	if err := stopped.Start(); err != nil {
		return err
	}
	defer func() { _ = stopped.Process.Kill() }()
	if err := stopped.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for threadsStopped(stopped.Process.Pid) != nil {
		time.Sleep(pollInterval)
	}
	fmt.Println(stopped.Process.Pid)
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// Guards against a stopped instance that runs on, and serves what it must not: the shell
// that has started the tests in the background exits.
func TestStoppedProcessStaysStopped(t *testing.T) {
	shell, err := asRole(roleShell)
	must(t, err)
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	hold, release, err := os.Pipe()
	must(t, err)
	defer release.Close()
	shell.Stdin = hold
	out, err := shell.Output()
	must(t, err)
	pid, err := strconv.Atoi(strings.TrimSpace(string(out)))
	must(t, err)
	if err := threadsStopped(pid); err != nil {
		t.Errorf("after the shell's end: %v", err)
	}
}
