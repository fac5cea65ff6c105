// Package cluster starts deployments of monsoonthread as separate processes on loopback
// and controls them: readiness, planned stops, crashes, pauses and fault injection. The lab
// command and the process-level tests use it.
package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// stopTimeout is how long a process may run on after SIGTERM before it is killed.
	stopTimeout = 40 * time.Second
	// maxLogTailBytes bounds the part of a log that an error quotes.
	maxLogTailBytes = 2000
	// clockTicksPerSecond is USER_HZ, the unit of CPU time in /proc.
	clockTicksPerSecond = 100
)

// Command describes a process to start.
type Command struct {
	Name string // base name of the log file, unique in Dir
	Path string
	Args []string
	Env  []string // added to the environment
	Dir  string   // directory of the log file
}

// Process is a running child process. It is safe for concurrent use.
type Process struct {
	name      string
	logPath   string
	cmd       *exec.Cmd
	firstLine chan string // receives the first line of standard output
	done      chan struct{}

	mu  sync.Mutex // protects err
	err error
}

// startThread runs functions on one OS thread that never exits. Children are started on it
// because the kernel sends Pdeathsig when the thread that created the child exits.
var startThread = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts a process in its own process group, so that a terminal interrupt does not
// reach it directly. The kernel kills it when this process exits.
func Start(c Command) (*Process, error) {
	logPath := filepath.Join(c.Dir, c.Name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child holds its own descriptor
	cmd := exec.Command(c.Path, c.Args...)
	cmd.Env = append(os.Environ(), c.Env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	startThread() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", c.Name, err)
	}
	p := &Process{name: c.Name, logPath: logPath, cmd: cmd, firstLine: make(chan string, 1), done: make(chan struct{})}
	go p.waitForExit(out, logPath)
	return p, nil
}

// waitForExit copies standard output to the log, waits for the process and records its
// exit error.
func (p *Process) waitForExit(out io.Reader, logPath string) {
	if log, err := os.OpenFile(logPath, os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
		r := bufio.NewReader(out)
		if line, err := r.ReadString('\n'); err == nil {
			p.firstLine <- line
			_, _ = io.WriteString(log, line) // the log is best effort
		}
		_, _ = io.Copy(log, r)
		_ = log.Close()
	}
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// Name returns the name given in Command.
func (p *Process) Name() string { return p.name }

func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not exited yet.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Err returns the exit error of a process that has exited, or nil for exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// LogTail returns the last bytes of the log.
func (p *Process) LogTail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-maxLogTailBytes):])
}

// LogLines returns the lines of the log that contain a text.
func (p *Process) LogLines(text string) string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	var lines strings.Builder
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			lines.WriteString(line)
		}
	}
	return lines.String()
}

// FirstLine waits for the first line of standard output.
func (p *Process) FirstLine(ctx context.Context) (string, error) {
	select {
	case l := <-p.firstLine:
		return l, nil
	case <-p.done:
		return "", fmt.Errorf("%s exited before it printed a line (%v): %s", p.name, p.Err(), p.LogTail())
	case <-ctx.Done():
		return "", fmt.Errorf("%s printed no line on standard output: %w: %s", p.name, ctx.Err(), p.LogTail())
	}
}

// WaitReady polls a URL until it responds with a 2xx status.
func (p *Process) WaitReady(ctx context.Context, url string) error {
	for {
		lastErr := (ControlClient{URL: url}).Do(ctx, "GET", "", nil, nil)
		if lastErr == nil {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s exited before it was ready (%v): %s", p.name, p.Err(), p.LogTail())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w (last error: %w): %s", p.name, ctx.Err(), lastErr, p.LogTail())
		case <-time.After(readyPollInterval):
		}
	}
}

const readyPollInterval = 20 * time.Millisecond

func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill sends SIGKILL, to simulate a crash, and waits until the process has exited.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-p.done
	return err
}

// Pause suspends the process with SIGSTOP; Resume continues it.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM and waits until the process has exited. A process that does not exit
// in time is killed, and Stop returns an error.
func (p *Process) Stop(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-p.done:
		return p.Err()
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("%s did not exit after SIGTERM: %w: %s", p.name, ctx.Err(), p.LogTail()), p.Kill())
	}
}

// Usage is the CPU time since the start of a process and its resident memory.
type Usage struct {
	CPU      time.Duration
	RSSBytes int64
}

// Usage reads the CPU time and the resident memory of the process.
func (p *Process) Usage() (Usage, error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
	if err != nil {
		return Usage{}, err
	}
	// The second field is the command name in parentheses and may contain spaces.
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21 // indexes of the fields after the command
	if !ok || len(f) <= rss {
		return Usage{}, fmt.Errorf("malformed /proc/PID/stat line %q", b)
	}
	var v [3]int64
	for i, field := range []int{utime, stime, rss} {
		if v[i], err = strconv.ParseInt(f[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(v[0]+v[1]) * time.Second / clockTicksPerSecond,
		RSSBytes: v[2] * int64(os.Getpagesize()),
	}, nil
}
