package caller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/rosestand/rosestand/internal/testing/lab/site"
	"github.com/rosestand/rosestand/internal/testing/lab/wait"
)

// Options describe a run of callers.
type Options struct {
	Fronts []Front
	Site   site.Name
	Load   Load
	Shape  Shape
	// Duration is how long new conversations open; those in progress then have Grace to end.
	Duration time.Duration
	Grace    time.Duration
	Seed     uint64
	Run      string
	Zones    int
	// Credentials by tenant; the tenants are the sites.
	Credentials map[string]string
	// Progress, when set, is called each second with the numbers of ended and of opened conversations.
	Progress func(ended, opened, planned int)
}

const (
	idleConnectionsPerFront = 512
	dialTimeout             = 2 * time.Second
	progressInterval        = time.Second
	verifyConcurrency       = 16
)

// NewHTTPClient makes a client for many requests to few addresses on loopback.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnectionsPerFront,
		IdleConnTimeout:     30 * time.Second,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
	}}
}

// Run opens the planned conversations at their times and returns the request log of
// everything that callers received. It ends after Duration and Grace at the latest.
func Run(ctx context.Context, options Options) (*RequestLog, error) {
	arrivals, err := Plan(options.Site, options.Load, options.Shape, options.Duration, options.Zones, options.Seed,
		options.Run)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, options.Duration+options.Grace)
	defer cancel()
	r := newRunner(options)
	var pollers sync.WaitGroup
	for i := range options.Fronts {
		pollers.Go(func() { r.platform.poll(ctx, i) })
	}
	r.open(ctx, arrivals)
	cancel()
	pollers.Wait()
	r.client.HTTP.CloseIdleConnections()
	return r.recorder.close(), nil
}

type runner struct {
	options  Options
	client   *Client
	platform *platform
	recorder *recorder
	opened   atomic.Int64
	ended    atomic.Int64
}

func newRunner(options Options) *runner {
	client := &Client{HTTP: NewHTTPClient(), Credentials: options.Credentials, Now: time.Now}
	return &runner{
		options: options, client: client, platform: newPlatform(options.Fronts, client.HTTP), recorder: newRecorder(),
	}
}

func (r *runner) open(ctx context.Context, arrivals []Arrival) {
	var visits sync.WaitGroup
	start := time.Now()
	stopProgress := r.report(ctx, len(arrivals))
	for i := range arrivals {
		if !wait.Until(ctx, start.Add(arrivals[i].At)) {
			break
		}
		if r.opened.Load()-r.ended.Load() >= int64(r.options.Load.MaxConversations) {
			r.recorder.entries <- unserved{}
			continue
		}
		r.opened.Add(1)
		visits.Go(func() {
			defer r.ended.Add(1)
			r.visit(ctx, &arrivals[i].Conversation)
		})
	}
	visits.Wait()
	stopProgress()
}

func (r *runner) visit(ctx context.Context, conversation *Conversation) {
	r.recorder.entries <- &Program{
		ID: conversation.Program, Tenant: string(conversation.Site),
		Budget: conversation.Budget, LargestTurn: conversation.LargestTurn(),
	}
	source := rand.NewPCG(r.options.Seed, xxhash.Sum64String(conversation.Program))
	v := &visit{
		client: r.client, platform: r.platform, recorder: r.recorder, random: rand.New(source),
		conversation: conversation, session: "session-" + conversation.Program,
	}
	v.run(ctx, conversation.Steps)
}

// report calls Progress each second until the returned function is called.
func (r *runner) report(ctx context.Context, planned int) (stop func()) {
	if r.options.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var reporter sync.WaitGroup
	reporter.Go(func() {
		for wait.For(ctx, progressInterval) {
			r.options.Progress(int(r.ended.Load()), int(r.opened.Load()), planned)
		}
	})
	return func() {
		cancel()
		reporter.Wait()
		r.options.Progress(int(r.ended.Load()), int(r.opened.Load()), planned)
	}
}

// Verify reads up to limit answered turns of the request log again and adds the reads
// to it, so that the audit detects a retained turn that is missing.
func Verify(ctx context.Context, options Options, log *RequestLog, limit int) error {
	r := newRunner(options)
	defer r.client.HTTP.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(verifyConcurrency)
	for _, turn := range sample(log, limit) {
		group.Go(func() error {
			record := readRecord(turn)
			for attempt := range maxExchanges {
				r.client.Read(ctx, r.platform.pick(attempt), record)
				if readHasOutcome(record) || !wait.For(ctx, minBackoff<<attempt) {
					break
				}
			}
			r.recorder.entries <- record
			return nil
		})
	}
	err := group.Wait()
	log.Records = append(log.Records, r.recorder.close().Records...)
	return err
}

// readHasOutcome reports whether a read has a final outcome; unavailable is none.
func readHasOutcome(record *Record) bool {
	last := record.Exchanges[len(record.Exchanges)-1]
	return record.Outcome == OutcomeAnswered || (last.Status != 0 && last.Status < http.StatusInternalServerError)
}

// sample returns limit answered turns, spread evenly over the run.
func sample(log *RequestLog, limit int) []*Record {
	var answered []*Record
	for _, record := range log.Records {
		if record.Operation == OperationTurn && record.Outcome == OutcomeAnswered {
			answered = append(answered, record)
		}
	}
	if limit <= 0 || len(answered) <= limit {
		return answered
	}
	chosen := make([]*Record, limit)
	for i := range chosen {
		chosen[i] = answered[i*len(answered)/limit]
	}
	return chosen
}
