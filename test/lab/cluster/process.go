// Package cluster starts deployments of monsoonthread as separate processes on loopback
// and controls them: readiness, planned stops, crashes, pauses and faults. It is used by
// the lab and by the process-level tests.
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
	// stopGrace is how long a process may take after SIGTERM before it is killed.
	stopGrace = 40 * time.Second
	// logTail is the number of bytes of a log that an error quotes.
	logTail = 2000
	// clockTicks is USER_HZ, in which /proc counts CPU time.
	clockTicks = 100
)

// Command describes a process.
type Command struct {
	Name string // unique in the directory; names the log file
	Path string
	Args []string
	Env  []string // added to the environment
	Dir  string   // directory of the log file
}

// Process is a running child process. It is safe for concurrent use.
type Process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	lines   chan string // first line of standard output
	done    chan struct{}

	mu  sync.Mutex // protects err
	err error
}

// starter runs all starts on one thread that never ends, because the kernel sends the
// death signal of a child when the thread that created it ends.
var starter = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// Start starts a process. It is in a process group of its own, so that an interrupt at
// the terminal reaches it only through the lab, and it is killed when the lab dies.
func Start(c Command) (*Process, error) {
	logPath := filepath.Join(c.Dir, c.Name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor
	cmd := exec.Command(c.Path, c.Args...)
	cmd.Env = append(os.Environ(), c.Env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("start %s: %w", c.Name, err)
	}
	p := &Process{name: c.Name, logPath: logPath, cmd: cmd, lines: make(chan string, 1), done: make(chan struct{})}
	go p.wait(out, logPath)
	return p, nil
}

// wait copies standard output to the log, reaps the process and records its result.
func (p *Process) wait(out io.Reader, logPath string) {
	if log, err := os.OpenFile(logPath, os.O_APPEND|os.O_WRONLY, 0o644); err == nil {
		r := bufio.NewReader(out)
		if line, err := r.ReadString('\n'); err == nil {
			p.lines <- line
			_, _ = io.WriteString(log, line) // the log is only an aid
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

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Err returns the result of a process that has ended: nil for exit code 0.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// LogTail returns the end of the log.
func (p *Process) LogTail() string {
	b, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-logTail):])
}

// FirstLine waits for the first line of standard output.
func (p *Process) FirstLine(ctx context.Context) (string, error) {
	select {
	case l := <-p.lines:
		return l, nil
	case <-p.done:
		return "", fmt.Errorf("%s ended (%v): %s", p.name, p.Err(), p.LogTail())
	case <-ctx.Done():
		return "", fmt.Errorf("%s printed nothing: %w: %s", p.name, ctx.Err(), p.LogTail())
	}
}

// WaitReady polls a URL until it answers 200.
func (p *Process) WaitReady(ctx context.Context, url string) error {
	for {
		last := (Control{URL: url}).Do(ctx, "GET", "", nil, nil)
		if last == nil {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("%s ended (%v): %s", p.name, p.Err(), p.LogTail())
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w (last: %w): %s", p.name, ctx.Err(), last, p.LogTail())
		case <-time.After(readyPoll):
		}
	}
}

const readyPoll = 20 * time.Millisecond

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends the process at once, as a crash does.
func (p *Process) Kill() error {
	err := p.Signal(syscall.SIGKILL)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	<-p.done
	return err
}

// Pause stops the process without ending it; Resume continues it.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to end and waits for it. A process that does not end in time is
// killed, which is an error.
func (p *Process) Stop(ctx context.Context) error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	select {
	case <-p.done:
		return p.Err()
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("%s did not stop: %w: %s", p.name, ctx.Err(), p.LogTail()), p.Kill())
	}
}

// Usage is what a process used since its start.
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
	// The second field is the command in parentheses and may contain blanks.
	_, rest, ok := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	const utime, stime, rss = 11, 12, 21 // positions after the command
	if !ok || len(f) <= rss {
		return Usage{}, fmt.Errorf("process statistics %q are malformed", b)
	}
	var v [3]int64
	for i, field := range []int{utime, stime, rss} {
		if v[i], err = strconv.ParseInt(f[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPU:      time.Duration(v[0]+v[1]) * time.Second / clockTicks,
		RSSBytes: v[2] * int64(os.Getpagesize()),
	}, nil
}
