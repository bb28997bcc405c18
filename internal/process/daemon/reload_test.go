package daemon_test

import (
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/protocol"
)

var _ = Describe("daemon with a settings file", func() {
	var folder, file string

	BeforeEach(func() {
		known := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(known) }).Should(Succeed()) })
		folder = GinkgoT().TempDir()
		file = filepath.Join(folder, "settings.json")
	})

	write := func(more string) {
		document := `{"node": {"name": "store-1", "zone": "z1", "internal_address": "127.0.0.1:0",
			"http_address": "127.0.0.1:0", "trust_network": true,
			"data_folder": "` + filepath.Join(folder, "data") + `", ` + more + `}}`
		temporary := file + ".new"
		Expect(os.WriteFile(temporary, []byte(document), 0o600)).To(Succeed())
		Expect(os.Rename(temporary, file)).To(Succeed())
	}
	start := func() (*runningDaemon, chan *protocol.NodeSettings) {
		write(`"seeds": ["127.0.0.1:7001"]`)
		running := launch(&fakePlane{}, "--settings", file)
		received := make(chan *protocol.NodeSettings, 4)
		running.process().OnSettings(func(node *protocol.NodeSettings) { received <- node })
		return running, received
	}

	It("notifies the plane of new seeds on SIGHUP, keeps running and logs the fields that need a restart", func() {
		running, received := start()
		write(`"seeds": ["127.0.0.2:7002"], "seed_port": 9, "stop_grace_millis": 1000`)
		running.reload <- syscall.SIGHUP
		var node *protocol.NodeSettings
		Eventually(received).Should(Receive(&node))
		Expect(node.GetSeeds()).To(Equal([]string{"127.0.0.2:9"}))
		Expect(running.errors.String()).To(
			And(ContainSubstring("need a restart"), ContainSubstring("seed_port"), ContainSubstring("stop_grace_millis")),
		)
		Expect(running.errors.String()).NotTo(ContainSubstring("fields=\"[seeds"))
		Expect(running.terminate()).To(Equal(daemon.ExitStopped))
	})

	It("detects a changed file without a signal and applies its log level", func() {
		running, received := start()
		write(`"seeds": ["127.0.0.1:7001"], "log_level": "error"`)
		Eventually(received).Should(Receive())
		Expect(running.terminate()).To(Equal(daemon.ExitStopped))
		Expect(running.errors.String()).NotTo(ContainSubstring("shutdown"), "info messages must not be logged at level error")
	})

	It("keeps its settings while the file is invalid or missing, and applies the next valid one", func() {
		running, received := start()
		Expect(os.WriteFile(file, []byte(`{"node": {"name": `), 0o600)).To(Succeed())
		running.reload <- syscall.SIGHUP
		Eventually(running.errors.String).Should(ContainSubstring("settings file rejected"))
		Expect(os.Remove(file)).To(Succeed())
		running.reload <- syscall.SIGHUP
		Eventually(running.errors.String).Should(ContainSubstring("no such file"))
		Expect(received).NotTo(Receive())
		write(`"seeds": ["127.0.0.3:7003"]`)
		var node *protocol.NodeSettings
		Eventually(received).Should(Receive(&node))
		Expect(node.GetSeeds()).To(Equal([]string{"127.0.0.3:7003"}))
		Expect(running.terminate()).To(Equal(daemon.ExitStopped))
	})

	It("starts without a cluster key only if the settings trust the network, and logs a warning", func() {
		running, _ := start()
		Expect(running.errors.String()).To(ContainSubstring("without a cluster key"))
		Expect(running.terminate()).To(Equal(daemon.ExitStopped))
		rejected := launch(&fakePlane{}, "--settings", file, "--trust-network=false")
		Expect(rejected.exitCode()).To(Equal(daemon.ExitSettings))
		Expect(rejected.errors.String()).To(ContainSubstring("node.cluster_key_file: is missing"))
	})
})
