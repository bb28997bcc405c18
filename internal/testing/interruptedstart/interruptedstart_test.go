package interruptedstart

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/rosestand/rosestand/internal/storage"
	"github.com/rosestand/rosestand/internal/storage/simdisk"
)

const folder = "/data"

// notebook is a process that stores each record in a file of its own, under one incarnation for ever. Its fields are
// faults, each of which Test must detect.
type notebook struct {
	// skipsFileSync and skipsDirectorySync acknowledge records that are not durable.
	skipsFileSync, skipsDirectorySync bool
	// writesInPlace lets a start fail on a file that is written in part.
	writesInPlace bool
	// reusesStarts gives each start the same number, and reportsLoss reports that data is lost.
	reusesStarts, reportsLoss bool
}

var (
	errPartial = errors.New("a file is written in part")
	errLoss    = errors.New("lost")
)

func (n notebook) start(disk *simdisk.Disk, record string) (*Started, error) {
	if err := storage.MkdirAll(disk, folder); err != nil {
		return nil, err
	}
	if err := disk.SyncDir("/"); err != nil {
		return nil, err
	}
	started := &Started{Incarnation: "only", Starts: uint64(disk.Operations())}
	if n.reusesStarts {
		started.Starts = 1
	}
	if n.reportsLoss {
		started.Lost = errLoss
	}
	for _, path := range disk.Files(folder) {
		content, err := n.read(disk, path)
		if err != nil {
			return nil, err
		}
		started.Remembered = append(started.Remembered, content)
	}
	return started, n.write(disk, record)
}

// read returns the content of a file without its end mark.
func (n notebook) read(disk *simdisk.Disk, path string) (string, error) {
	if strings.HasSuffix(path, ".tmp") {
		return "", nil
	}
	file, err := disk.Open(path)
	if err != nil {
		return "", err
	}
	size, err := file.Size()
	if err != nil {
		return "", err
	}
	content := make([]byte, size)
	if _, err := file.ReadAt(content, 0); err != nil && size > 0 {
		return "", err
	}
	text, isWhole := strings.CutSuffix(string(content), ".")
	if !isWhole {
		return "", errPartial
	}
	return text, nil
}

func (n notebook) write(disk *simdisk.Disk, record string) error {
	path := folder + "/" + record
	temporary := path + ".tmp"
	if n.writesInPlace {
		temporary = path
	}
	file, err := disk.Create(temporary)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt([]byte(record+"."), 0); err != nil {
		return err
	}
	if !n.skipsFileSync {
		if err := file.Sync(); err != nil {
			return err
		}
	}
	if !n.writesInPlace {
		if err := disk.Rename(temporary, path); err != nil {
			return err
		}
	}
	if n.skipsDirectorySync {
		return nil
	}
	return disk.SyncDir(folder)
}

// violations returns what Test would report of a process for some seeds.
func violations(scenario Scenario) string {
	var reported []string
	for seed := range uint64(4) {
		test := &tester{scenario: scenario, seed: seed}
		test.interruptTwice()
		reported = append(reported, test.violations...)
	}
	return strings.Join(reported, "\n")
}

func TestAProcessWithoutFaultViolatesNothing(t *testing.T) {
	if reported := violations(Scenario{Start: notebook{}.start}); reported != "" {
		t.Error(reported)
	}
}

func TestEachFaultIsDetected(t *testing.T) {
	for expected, process := range map[string]notebook{
		"forgets":                {skipsDirectorySync: true},
		errPartial.Error():       {skipsFileSync: true},
		"has used":               {reusesStarts: true},
		"though nothing is lost": {reportsLoss: true},
	} {
		if reported := violations(Scenario{Start: process.start}); !strings.Contains(reported, expected) {
			t.Errorf("of %+v is reported, want %q:\n%s", process, expected, reported)
		}
	}
	inPlace := violations(Scenario{Start: notebook{writesInPlace: true}.start})
	if !strings.Contains(inPlace, errPartial.Error()) {
		t.Errorf("of a write in place is reported:\n%s", inPlace)
	}
}

func TestAnErrorIsAcceptedOnlyIfTheScenarioNamesIt(t *testing.T) {
	scenario := Scenario{
		Start: notebook{writesInPlace: true}.start, Damaged: true,
		Rejects: func(err error) bool { return errors.Is(err, errPartial) },
	}
	if reported := violations(scenario); strings.Contains(reported, errPartial.Error()) {
		t.Errorf("an accepted error is reported:\n%s", reported)
	}
}
