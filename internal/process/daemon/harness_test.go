package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	. "github.com/onsi/gomega"
	"go.uber.org/fx"

	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/transport/wire"
)

const clusterKey = "0123456789abcdef-test-cluster-key"

// syncBuffer is a buffer that a daemon may write to while a test reads it.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(data)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}

// echoHandler responds to every request with the name of the node.
type echoHandler struct{ process *daemon.Process }

func (h echoHandler) Serve(_ context.Context, _ *protocol.Request, send func(*protocol.Response) error) error {
	return send(&protocol.Response{Body: &protocol.Response_CoreStatus{
		CoreStatus: &protocol.CoreStatusResponse{Name: h.process.Self.GetName()},
	}})
}

// fakePlane is a plane that records the calls of its start, drain and stop hooks.
type fakePlane struct {
	mutex   sync.Mutex
	events  []string
	onStart func(context.Context) error
	drain   daemon.DrainHook
	// process is set before onStart is called.
	process *daemon.Process
}

func (p *fakePlane) record(event string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.events = append(p.events, event)
}

func (p *fakePlane) recorded() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string(nil), p.events...)
}

func (p *fakePlane) module(*protocol.StoreSettings) fx.Option {
	return fx.Module("fake",
		fx.Provide(func(process *daemon.Process) wire.Handler { return echoHandler{process} }),
		fx.Invoke(func(lifecycle fx.Lifecycle, process *daemon.Process, engine *gin.Engine, _ wire.Caller) {
			p.process = process
			engine.POST("/echo", func(c *gin.Context) {
				if _, err := io.Copy(io.Discard, c.Request.Body); err != nil {
					c.Status(http.StatusBadRequest)
				}
			})
			engine.GET("/panic", func(*gin.Context) { panic("test panic") })
			process.OnDrain("fake", func(ctx context.Context) error {
				p.record("drain")
				if p.drain != nil {
					return p.drain(ctx)
				}
				return nil
			})
			lifecycle.Append(fx.Hook{
				OnStart: func(ctx context.Context) error {
					p.record("start")
					if p.onStart != nil {
						return p.onStart(ctx)
					}
					return nil
				},
				OnStop: func(context.Context) error { p.record("stop"); return nil },
			})
		}))
}

// runningDaemon is a store daemon with a fake plane that runs in the test process.
type runningDaemon struct {
	plane   *fakePlane
	signals chan os.Signal
	reload  chan os.Signal
	running chan *daemon.Process
	exit    chan int
	output  syncBuffer
	errors  syncBuffer
}

func launch(plane *fakePlane, arguments ...string) *runningDaemon {
	launched := &runningDaemon{
		plane:   plane,
		signals: make(chan os.Signal, 2),
		reload:  make(chan os.Signal, 1),
		running: make(chan *daemon.Process, 1),
		exit:    make(chan int, 1),
	}
	go func() {
		launched.exit <- daemon.Execute(settings.Store, launched.plane.module, daemon.Environment{
			Arguments: arguments,
			Output:    &launched.output,
			Errors:    &launched.errors,
			Signals:   launched.signals,
			Reload:    launched.reload,
			OnRunning: func(process *daemon.Process) { launched.running <- process },
		})
	}()
	return launched
}

func (d *runningDaemon) terminate() int {
	d.signals <- syscall.SIGTERM
	return d.exitCode()
}

func (d *runningDaemon) exitCode() int {
	var code int
	Eventually(d.exit, "20s").Should(Receive(&code))
	return code
}

func (d *runningDaemon) process() *daemon.Process {
	var process *daemon.Process
	Eventually(d.running, "20s").Should(Receive(&process), d.errors.String)
	return process
}

// client keeps no idle connections, so that none outlives its test.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

func get(address, path string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}
