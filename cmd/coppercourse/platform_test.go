package main

// The program as the platform runs it: a changed settings file and SIGHUP do not
// end it, SIGTERM does within the grace period, and an invalid file ends it at once
// with all errors reported and nothing written.

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/platform"
)

const asProgramVariable = "COPPERCOURSE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(file string, args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), asProgramVariable+"=1", platform.SettingsFileVariable+"="+file)
	return c
}

// ports returns free ports, the inner ones in a row.
func ports() (inner int, outer [3]int) {
	for base := 20_000 + os.Getpid()%20_000; ; base += 10 {
		free := true
		for p := base; p < base+6; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if free = free && err == nil; err == nil {
				ln.Close()
			}
		}
		if free {
			return base, [3]int{base + 3, base + 4, base + 5}
		}
	}
}

func settingsFile(t *testing.T) (path string, front, ready int) {
	inner, outer := ports()
	path = filepath.Join(t.TempDir(), "local.yaml")
	text := fmt.Sprintf(`
nodeName: "n"
serves: ["front"]
ip: "127.0.0.1"
zone: "z1"
listenAddrs: {front: "127.0.0.1:%d", readiness: "127.0.0.1:%d"}
innerPortRange: [%d, %d]
seedList: ["127.0.0.1:%d"]
bounds: {graceS: 1}
`, outer[0], outer[1], inner, inner+2, outer[2])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, outer[0], outer[1]
}

func TestADeployedGatewayLivesAndEnds(t *testing.T) {
	is := is.New(t)
	path, front, ready := settingsFile(t)
	c := program(path, "platform", "gateway")
	out, err := c.StderrPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	defer c.Process.Kill()
	lines := make(chan string, 100)
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			lines <- s.Text()
		}
		close(lines)
	}()
	until := func(what string) {
		for late := time.After(2 * time.Minute); ; {
			select {
			case l, ok := <-lines:
				if strings.Contains(l, what) {
					return
				}
				if !ok {
					t.Fatal("ended before it said: " + what)
				}
			case <-late:
				t.Fatal("not said: " + what)
			}
		}
	}
	until(`"table_edition"`)
	for _, url := range []string{fmt.Sprintf("http://127.0.0.1:%d/coppercourse/readiness", ready), fmt.Sprintf("http://127.0.0.1:%d/a/5c0e7a21d94b36f8", front)} {
		res, err := http.Get(url)
		is.NoErr(err)
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		is.Equal(res.StatusCode, 503)
		is.Equal(res.Header.Get("Retry-After"), "1")
	}
	is.NoErr(c.Process.Signal(syscall.SIGHUP))
	until("settings file reloaded")
	is.NoErr(c.Process.Signal(syscall.SIGTERM))
	until(`"not_ready_for":"400ms","timeout":"750ms"`) // of the second there is; door's tests hold it to that
	until(`"stopped"`)
	is.NoErr(c.Wait())
}

func TestABadFileEndsItWithEveryFault(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	path := filepath.Join(folder, "local.yaml")
	is.NoErr(os.WriteFile(path, []byte("ip: \"x\"\nserves: [\"control\"]\ndataDir: \""+folder+"/data\"\ncommands: \"heartbeat\"\n"), 0o600))
	for _, args := range [][]string{{"platform", "controller"}, {"platform", "check", path}} {
		var said bytes.Buffer
		c := program(path, args...)
		c.Stderr = &said
		is.True(c.Run() != nil)
		is.Equal(c.ProcessState.ExitCode(), 1)
		for _, f := range []string{"ip", "zone", "nodeName", "innerPortRange", "seedList", "listenAddrs.control", "commands"} {
			is.True(strings.Contains(said.String(), ": "+f+": "))
		}
	}
	list, err := os.ReadDir(folder)
	is.NoErr(err)
	is.Equal(len(list), 1)
}
