package replica

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"sync"
)

// commandLog is a state machine that records its commands.
type commandLog struct {
	mutex    sync.Mutex
	commands []string
}

func (l *commandLog) Apply(_ uint64, command []byte) []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.commands = append(l.commands, string(command))
	return fmt.Appendf(nil, "%d", len(l.commands))
}

func (l *commandLog) Snapshot(writer io.Writer) error {
	for _, command := range l.all() {
		if _, err := fmt.Fprintln(writer, command); err != nil {
			return err
		}
	}
	return nil
}

func (l *commandLog) Restore(reader io.Reader) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.commands = nil
	lines := bufio.NewScanner(reader)
	for lines.Scan() {
		l.commands = append(l.commands, lines.Text())
	}
	return lines.Err()
}

func (l *commandLog) all() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return slices.Clone(l.commands)
}

// lastCommand is a state machine whose state is one command.
type lastCommand struct{ command []byte }

func (l *lastCommand) Apply(_ uint64, command []byte) []byte {
	l.command = command
	return nil
}

func (l *lastCommand) Snapshot(writer io.Writer) error {
	_, err := writer.Write(l.command)
	return err
}

func (l *lastCommand) Restore(reader io.Reader) (err error) {
	l.command, err = io.ReadAll(reader)
	return err
}
