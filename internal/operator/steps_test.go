package operator_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/rosestand/rosestand/internal/operator"
	"github.com/rosestand/rosestand/internal/state/ledger"
)

const stepPin = `"pin":{"step":"run 3/17","model":"m","weight_version":"4","pinned_by":"front-2",` +
	`"pinned_at_millis":"1800000000000"}`

// tracedProgram returns the JSON of one program of a trace; generations is the JSON of its generation counts.
func tracedProgram(name string, version int, generations string) string {
	return fmt.Sprintf(
		`{"program":%q,"tenant":"t","membership":{"step":"run 3/17","weight_version":"%d","generations":[%s]}}`, name,
		version, generations,
	)
}

var _ = Describe("the trace of a training step", func() {
	var (
		front          *fakeProcess
		output, stderr *bytes.Buffer
	)

	BeforeEach(func() {
		front = newFakeProcess()
		DeferCleanup(front.server.Close)
		output, stderr = &bytes.Buffer{}, &bytes.Buffer{}
	})

	trace := func(arguments ...string) int {
		output.Reset()
		stderr.Reset()
		return operator.Execute(context.Background(), operator.Environment{
			Arguments: append([]string{"steps", "trace"}, arguments...),
			Input:     strings.NewReader(""), Output: output, Errors: stderr,
			LookupEnvironment: func(name string) string { return map[string]string{"ROSESTAND_FRONT": front.address}[name] },
			Sleep:             func(context.Context, time.Duration) error { return nil },
		})
	}

	traceBody := func(programs ...string) string {
		return fmt.Sprintf(`{%s,"programs":[%s]}`, stepPin, strings.Join(programs, ","))
	}

	lastLine := func() string {
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		return lines[len(lines)-1]
	}

	It("is printed with the pin, the counts of each program and the result", func() {
		front.respondAlways(http.StatusOK, traceBody(
			tracedProgram(
				"p1", 4, `{"weight_version":"4","completed":"12","discarded":"1"},{"weight_version":"5","discarded":"2"}`,
			),
			tracedProgram("p2", 4, `{"discarded":"1"},{"weight_version":"4","completed":"3"}`),
			tracedProgram("p3", 4, ``)))
		Expect(trace("run 3/17")).To(Equal(operator.ExitDone), stderr.String())
		Expect(front.received()[0].path).To(Equal("/v1/training-steps/run%203%2F17"))
		Expect(front.received()[0].authorization).To(BeEmpty())
		Expect(output.String()).To(And(
			MatchRegexp(`step +run 3/17`), MatchRegexp(`model +m`), MatchRegexp(`pinned version +4`),
			MatchRegexp(`pinned by +front-2`),
			MatchRegexp(`pinned at +2027-01-15T08:00:00Z`),
			MatchRegexp(
				`p1 +t +12 on 4 +1 on 4, 2 on 5`,
			), MatchRegexp(`p2 +t +3 on 4 +1 on unknown`), MatchRegexp(`p3 +t +0 +0`)))
		Expect(lastLine()).To(
			Equal(
				"training step run 3/17 traces to a single version: all 15 completed generations of 3 programs ran on version 4",
			),
		)
	})

	It("is printed unchanged with -o json, with the same exit code", func() {
		body := traceBody(tracedProgram("p1", 4, `{"weight_version":"4","completed":"12"}`))
		front.respondAlways(http.StatusOK, body)
		Expect(trace("run 3/17", "-o", "json")).To(Equal(operator.ExitDone), stderr.String())
		Expect(output.String()).To(MatchJSON(body))
		mixed := traceBody(tracedProgram("p1", 4, `{"weight_version":"5","completed":"1"}`))
		front.respondAlways(http.StatusOK, mixed)
		Expect(trace("run 3/17", "-o", "json")).To(Equal(operator.ExitNotTraced))
		Expect(output.String()).To(MatchJSON(mixed))
		Expect(stderr.String()).To(ContainSubstring("does not trace to a single version"))
	})

	DescribeTable("exits with a separate code when the step does not trace to a single version",
		func(body, reason string) {
			front.respondAlways(http.StatusOK, body)
			Expect(trace("run 3/17")).To(Equal(operator.ExitNotTraced))
			Expect(lastLine()).To(Equal("training step run 3/17 does not trace to a single version: " + reason))
			Expect(stderr.String()).To(ContainSubstring(reason))
		},
		Entry("a completed generation on another version",
			traceBody(
				tracedProgram("p1", 4, `{"weight_version":"4","completed":"1"}`),
				tracedProgram("p2", 4, `{"weight_version":"4","completed":"1"},{"weight_version":"5","completed":"2"}`),
			),
			"program p2 completed 2 generations on version 5, pinned is 4"),
		Entry("a completed generation on no version",
			traceBody(tracedProgram("p1", 4, `{"completed":"1"}`)),
			"program p1 completed 1 generations on version unknown, pinned is 4"),
		Entry("a program of another version",
			traceBody(tracedProgram("p1", 5, ``)), "program p1 generates on version 5, pinned is 4"),
		Entry(
			"no pin", `{"programs":[`+tracedProgram("p1", 4, `{"weight_version":"4","completed":"1"}`)+`]}`,
			"no version is pinned",
		),
	)

	It("exits as not found when the ledger does not have the step", func() {
		front.respondAlways(http.StatusNotFound, rejectionBody("not_found"))
		Expect(trace("17")).To(Equal(operator.ExitNotFound))
		Expect(stderr.String()).To(ContainSubstring("training step 17 was not found"))
	})

	It("exits as unreachable without a result while the ledger is unavailable", func() {
		front.respondAlways(http.StatusServiceUnavailable, rejectionBody("ledger_unavailable"))
		Expect(trace("17")).To(Equal(operator.ExitUnreachable))
		Expect(output.String()).To(BeEmpty())
	})

	It("rejects invalid names without a request", func() {
		Expect(trace("")).To(Equal(operator.ExitUsage))
		Expect(trace(strings.Repeat("x", ledger.MaxTrainingStepBytes+1))).To(Equal(operator.ExitUsage))
		Expect(front.received()).To(BeEmpty())
	})
})
