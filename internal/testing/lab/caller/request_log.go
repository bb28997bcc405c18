package caller

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// bookkeeper owns the book of a run and takes in what conversations learn.
type bookkeeper struct {
	entries chan any
	book    *Book
	done    chan struct{}
}

type unserved struct{}

func newBookkeeper() *bookkeeper {
	const entriesAhead = 1024
	k := &bookkeeper{
		entries: make(chan any, entriesAhead),
		book:    &Book{Programs: map[string]*Program{}},
		done:    make(chan struct{}),
	}
	go k.loop()
	return k
}

func (k *bookkeeper) loop() {
	defer close(k.done)
	for entry := range k.entries {
		switch entry := entry.(type) {
		case *Record:
			k.book.Records = append(k.book.Records, entry)
		case *Program:
			k.book.Programs[entry.ID] = entry
		case unserved:
			k.book.Unserved++
		}
	}
}

// close returns the book when all entries are in it.
func (k *bookkeeper) close() *Book {
	close(k.entries)
	<-k.done
	return k.book
}

// Save writes the book as JSON.
func (b *Book) Save(path string) error {
	content, err := json.Marshal(b)
	if err != nil {
		return errors.Wrap(err, "encode book")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o644), "write book")
}

// LoadBook reads a saved book.
func LoadBook(path string) (*Book, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read book")
	}
	var book Book
	return &book, errors.Wrap(json.Unmarshal(content, &book), "decode book")
}
