package settings

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/pflag"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

const commonField = "node"

// FlagName returns the name of the flag for a field: max_body_bytes becomes max-body-bytes.
func FlagName(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", "-")
}

// ReadError reports that a file named by the command line or by the settings could not be read.
type ReadError struct {
	Path  string
	Cause error
}

// Error names the path and the cause.
func (e *ReadError) Error() string { return "read " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// AddFlags adds a flag for each field; flags for fields of the common part have no prefix.
func (k Kind[S]) AddFlags(flags *pflag.FlagSet) {
	forEachField(k.newMessage(), func(field protoreflect.FieldDescriptor, _ protoreflect.Message) {
		help := helpTexts[string(field.Name())]
		switch {
		case field.IsList():
			flags.StringSlice(FlagName(field), nil, help)
		case field.Kind() == protoreflect.Uint32Kind:
			flags.Uint32(FlagName(field), 0, help)
		case field.Kind() == protoreflect.Uint64Kind:
			flags.Uint64(FlagName(field), 0, help)
		case field.Kind() == protoreflect.BoolKind:
			flags.Bool(FlagName(field), false, help)
		default:
			flags.String(FlagName(field), "", help)
		}
	})
}

// Load reads the file, unless its name is empty, overrides it by the flags that
// were set, sets the defaults and checks all fields. The error is a *ReadError or
// an *InvalidError.
func (k Kind[S]) Load(file string, flags *pflag.FlagSet) (S, error) {
	var document []byte
	if file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return k.newMessage(), &ReadError{Path: file, Cause: err}
		}
		if len(content) == 0 {
			return k.newMessage(), &ReadError{Path: file, Cause: errors.New("the file is empty")}
		}
		document = content
	}
	message, err := k.Parse(document)
	if err != nil {
		return message, err
	}
	if err := applyFlags(message, flags); err != nil {
		return message, err
	}
	return message, k.Complete(message)
}

func applyFlags(message Message, flags *pflag.FlagSet) error {
	var firstError error
	forEachField(message, func(field protoreflect.FieldDescriptor, owner protoreflect.Message) {
		flag := flags.Lookup(FlagName(field))
		if flag == nil || !flag.Changed || firstError != nil {
			return
		}
		firstError = applyFlag(field, owner, flags)
	})
	return firstError
}

func applyFlag(field protoreflect.FieldDescriptor, owner protoreflect.Message, flags *pflag.FlagSet) error {
	name := FlagName(field)
	switch {
	case field.IsList():
		values, err := flags.GetStringSlice(name)
		list := owner.NewField(field).List()
		for _, value := range values {
			list.Append(protoreflect.ValueOfString(value))
		}
		owner.Set(field, protoreflect.ValueOfList(list))
		return err
	case field.Kind() == protoreflect.Uint32Kind:
		value, err := flags.GetUint32(name)
		owner.Set(field, protoreflect.ValueOfUint32(value))
		return err
	case field.Kind() == protoreflect.Uint64Kind:
		value, err := flags.GetUint64(name)
		owner.Set(field, protoreflect.ValueOfUint64(value))
		return err
	case field.Kind() == protoreflect.BoolKind:
		value, err := flags.GetBool(name)
		owner.Set(field, protoreflect.ValueOfBool(value))
		return err
	default:
		value, err := flags.GetString(name)
		owner.Set(field, protoreflect.ValueOfString(value))
		return err
	}
}

// forEachField visits the fields of the common part and then those of the kind of
// daemon, both in the order of their declaration.
func forEachField(message proto.Message, visit func(protoreflect.FieldDescriptor, protoreflect.Message)) {
	reflection := message.ProtoReflect()
	fields := reflection.Descriptor().Fields()
	node := fields.ByName(commonField)
	common := reflection.Mutable(node).Message()
	for index := range common.Descriptor().Fields().Len() {
		visit(common.Descriptor().Fields().Get(index), common)
	}
	for index := range fields.Len() {
		if fields.Get(index) != node {
			visit(fields.Get(index), reflection)
		}
	}
}

// ForEachFieldPair visits each field of two settings of the same kind with its values in both.
func ForEachFieldPair(
	first, second Message, visit func(field protoreflect.FieldDescriptor, inFirst, inSecond protoreflect.Value),
) {
	values := map[protoreflect.FullName]protoreflect.Value{}
	forEachField(first, func(field protoreflect.FieldDescriptor, owner protoreflect.Message) {
		values[field.FullName()] = owner.Get(field)
	})
	forEachField(second, func(field protoreflect.FieldDescriptor, owner protoreflect.Message) {
		visit(field, values[field.FullName()], owner.Get(field))
	})
}
