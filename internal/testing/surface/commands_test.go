package surface_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"github.com/rosestand/rosestand/internal/controlplane/core"
	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/operator"
	"github.com/rosestand/rosestand/internal/process/daemon"
	"github.com/rosestand/rosestand/internal/process/settings"
	"github.com/rosestand/rosestand/internal/protocol"
	"github.com/rosestand/rosestand/internal/state/store"
	"github.com/rosestand/rosestand/internal/testing/lab/command"
)

// program runs a program's command line and returns what it prints and its exit code.
type program func(arguments ...string) (output string, code int)

func daemonProgram[S settings.Message](kind settings.Kind[S], module daemon.Module[S]) program {
	return func(arguments ...string) (string, int) {
		var output bytes.Buffer
		code := daemon.Execute(kind, module, daemon.Environment{Arguments: arguments, Output: &output, Errors: &output})
		return output.String(), code
	}
}

func operatorProgram(arguments ...string) (string, int) {
	var output bytes.Buffer
	code := operator.Execute(context.Background(), operator.Environment{
		Arguments: arguments, Input: strings.NewReader(""), Output: &output, Errors: &output,
		LookupEnvironment: func(string) string { return "" },
	})
	return output.String(), code
}

func labProgram(arguments ...string) (string, int) {
	var output bytes.Buffer
	code := command.Execute(context.Background(), arguments, &output, &output)
	return output.String(), code
}

var (
	commandLine = regexp.MustCompile(`^  ([a-z][a-z-]*)\s`)
	flagLine    = regexp.MustCompile(`^\s+(?:-(\w), )?--([a-z-]+)(?: (\S+))?(?:\s{2,}(.*))?$`)
	defaultText = regexp.MustCompile(`\(default (.*)\)$`)
)

// describe lists usage, flags and sub-commands from the help of a command and of those below it.
func describe(t *testing.T, run program, path ...string) []string {
	t.Helper()
	help, code := run(append(append([]string{}, path[1:]...), "--help")...)
	name, section := strings.Join(path, " "), ""
	lines, inner := []string{fmt.Sprintf("%s: --help ends with %d", name, code)}, []string{}
	for line := range strings.Lines(help) {
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasSuffix(line, ":") && !strings.HasPrefix(line, " "):
			section = line
		case line == "":
			section = ""
		case section == "Usage:":
			lines = append(lines, name+": usage "+strings.TrimSpace(line))
		case section == "Available Commands:":
			if found := commandLine.FindStringSubmatch(line); found != nil {
				inner = append(inner, found[1])
			}
		case section == "Flags:":
			if found := flagLine.FindStringSubmatch(line); found != nil {
				lines = append(lines, name+": "+describeFlag(t, found))
			}
		}
	}
	if len(lines) < 3 {
		t.Fatalf("%s: the help shows no usage or no flags:\n%s", name, help)
	}
	for _, child := range inner {
		lines = append(lines, describe(t, run, append(append([]string{}, path...), child)...)...)
	}
	return lines
}

// describeFlag gives name, short name, type and default of a flag; a default that is not printed is the zero value.
func describeFlag(t *testing.T, found []string) string {
	t.Helper()
	text := "--" + found[2]
	if found[1] != "" {
		text += " -" + found[1]
	}
	kind := found[3]
	if kind == "" {
		kind = "bool"
	}
	text += " " + kind
	if value := defaultText.FindStringSubmatch(found[4]); value != nil {
		executable, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		text += " default " + strings.ReplaceAll(value[1], filepath.Dir(executable), "<folder of the program>")
	}
	return text
}

func TestCommandLines(t *testing.T) {
	var lines []string
	lines = append(lines, describe(t, operatorProgram, "rosestand")...)
	lines = append(lines, describe(t, daemonProgram(settings.Core, core.Module), "rosestand-core")...)
	lines = append(lines, describe(t, daemonProgram(settings.Front, front.Module), "rosestand-front")...)
	lines = append(lines, describe(t, daemonProgram(settings.Store, store.Module), "rosestand-store")...)
	lines = append(lines, describe(t, labProgram, "rosestand-lab")...)
	compare(t, "commands", lines)
}

func TestExitCodes(t *testing.T) {
	lines := []string{}
	add := func(what string, code int) { lines = append(lines, fmt.Sprintf("%s: %d", what, code)) }
	add("daemon stopped", daemon.ExitStopped)
	add("daemon failed", daemon.ExitFailure)
	add("daemon has wrong settings", daemon.ExitSettings)
	add("order done", operator.ExitDone)
	add("order failed", operator.ExitFailure)
	add("order's command line is wrong", operator.ExitUsage)
	add("order refused", operator.ExitRejected)
	add("order unauthorized", operator.ExitUnauthorized)
	add("order reached no process", operator.ExitUnreachable)
	add("order's outcome unknown", operator.ExitUnknown)
	add("order names what does not exist", operator.ExitNotFound)
	add("training step does not trace", operator.ExitNotTraced)
	add("laboratory clean", command.ExitClean)
	add("laboratory failed", command.ExitFailure)
	add("laboratory found a violation", command.ExitViolation)
	for _, tried := range []struct {
		name string
		run  program
	}{
		{"rosestand", operatorProgram},
		{"rosestand-core", daemonProgram(settings.Core, core.Module)},
		{"rosestand-front", daemonProgram(settings.Front, front.Module)},
		{"rosestand-store", daemonProgram(settings.Store, store.Module)},
		{"rosestand-lab", labProgram},
	} {
		_, code := tried.run("--no-such-flag")
		add(tried.name+" --no-such-flag", code)
	}
	for _, tried := range []struct {
		name string
		run  program
	}{
		{"rosestand-core", daemonProgram(settings.Core, core.Module)},
		{"rosestand-front", daemonProgram(settings.Front, front.Module)},
		{"rosestand-store", daemonProgram(settings.Store, store.Module)},
	} {
		_, code := tried.run("--check-config")
		add(tried.name+" --check-config without settings", code)
	}
	compare(t, "exitcodes", lines)
}

// TestSettingsDefaults holds what --print-config prints of each daemon: every key with its default.
func TestSettingsDefaults(t *testing.T) {
	node := []string{
		"--name", "one", "--zone", "a", "--internal-address", "127.0.0.1:0", "--http-address", "127.0.0.1:0",
		"--seeds", "127.0.0.1:7000", "--trust-network", "--print-config",
	}
	core := daemonProgram(settings.Core, core.Module)
	front := daemonProgram(settings.Front, front.Module)
	store := daemonProgram(settings.Store, store.Module)
	var lines []string
	for _, printed := range []struct {
		name      string
		run       program
		arguments []string
	}{
		{"rosestand-core", core, []string{"--data-folder", "data", "--founders", "127.0.0.1:7000", "--trust-operators"}},
		{"rosestand-front", front, nil},
		{"rosestand-store", store, []string{"--data-folder", "data"}},
	} {
		output, code := printed.run(append(printed.arguments, node...)...)
		if code != 0 {
			t.Fatalf("%s ends with %d:\n%s", printed.name, code, output)
		}
		for line := range strings.Lines(output) {
			lines = append(lines, printed.name+": "+strings.TrimRight(line, "\n"))
		}
	}
	compare(t, "settings", lines)
}

// TestMessages holds the names, numbers and kinds of all fields that go over the wire, to disk or into JSON documents.
func TestMessages(t *testing.T) {
	own := (&protocol.NodeSettings{}).ProtoReflect().Descriptor().ParentFile().Package()
	set := map[string]bool{}
	protoregistry.GlobalFiles.RangeFilesByPackage(own, func(file protoreflect.FileDescriptor) bool {
		describeMessages(set, file.Messages())
		describeEnums(set, file.Enums())
		return true
	})
	compare(t, "messages", sorted(set))
}

func describeMessages(set map[string]bool, messages protoreflect.MessageDescriptors) {
	for place := range messages.Len() {
		message := messages.Get(place)
		for number := range message.Fields().Len() {
			field := message.Fields().Get(number)
			kind := field.Kind().String()
			if field.Message() != nil {
				kind = string(field.Message().FullName())
			}
			if field.Enum() != nil {
				kind = string(field.Enum().FullName())
			}
			set[fmt.Sprintf("%s = %d %s %s", field.FullName(), field.Number(), field.Cardinality(), kind)] = true
		}
		describeMessages(set, message.Messages())
		describeEnums(set, message.Enums())
	}
}

func describeEnums(set map[string]bool, enums protoreflect.EnumDescriptors) {
	for place := range enums.Len() {
		values := enums.Get(place).Values()
		for number := range values.Len() {
			set[fmt.Sprintf(
				"%s.%s = %d", enums.Get(place).FullName(), values.Get(number).Name(), values.Get(number).Number(),
			)] = true
		}
	}
}
