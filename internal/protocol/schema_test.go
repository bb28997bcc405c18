package protocol_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"

	// Registers the files under test.
	_ "github.com/rosestand/rosestand/internal/protocol"
)

const (
	schemaPath   = "testdata/schema.golden"
	schemaPrefix = "rosestand/"
)

var updateSchema = flag.Bool("update-schema", false, "write the golden of the schema anew")

// schemaFiles are the project's files that are linked into the program, by path.
func schemaFiles() []protoreflect.FileDescriptor {
	var files []protoreflect.FileDescriptor
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		if strings.HasPrefix(file.Path(), schemaPrefix) {
			files = append(files, file)
		}
		return true
	})
	slices.SortFunc(files, func(one, other protoreflect.FileDescriptor) int {
		return strings.Compare(one.Path(), other.Path())
	})
	return files
}

// describe gives one line for each element of the files, sorted, so that the order of declarations does not matter.
func describe(files []protoreflect.FileDescriptor) string {
	var lines []string
	for _, file := range files {
		lines = append(lines, fmt.Sprintf("file %s package %s syntax %s", file.Path(), file.Package(), file.Syntax()))
		lines = append(lines, describeEnums(file.Enums())...)
		lines = append(lines, describeMessages(file.Messages())...)
		for i := range file.Services().Len() {
			lines = append(lines, describeService(file.Services().Get(i))...)
		}
		for i := range file.Extensions().Len() {
			extension := file.Extensions().Get(i)
			lines = append(lines, describeField("extension", extension)+" of "+string(extension.ContainingMessage().FullName()))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func describeMessages(messages protoreflect.MessageDescriptors) []string {
	var lines []string
	for i := range messages.Len() {
		message := messages.Get(i)
		lines = append(
			lines,
			fmt.Sprintf("message %s reserved %v %v", message.FullName(), rangesOf(message), namesOf(message.ReservedNames())),
		)
		for j := range message.Fields().Len() {
			lines = append(lines, describeField("field", message.Fields().Get(j)))
		}
		lines = append(lines, describeEnums(message.Enums())...)
		lines = append(lines, describeMessages(message.Messages())...)
	}
	return lines
}

func rangesOf(message protoreflect.MessageDescriptor) []string {
	var ranges []string
	for i := range message.ReservedRanges().Len() {
		reserved := message.ReservedRanges().Get(i)
		ranges = append(ranges, fmt.Sprintf("%d..%d", reserved[0], reserved[1]-1))
	}
	return ranges
}

func namesOf(names protoreflect.Names) []string {
	var reserved []string
	for i := range names.Len() {
		reserved = append(reserved, string(names.Get(i)))
	}
	return reserved
}

// describeField names all of a field that the binary form, the JSON form or the meaning of an absent value depends on.
func describeField(kind string, field protoreflect.FieldDescriptor) string {
	line := fmt.Sprintf(
		"%s %s = %d %s %s json %s", kind, field.FullName(), field.Number(), field.Cardinality(), typeOf(field),
		field.JSONName(),
	)
	if field.IsMap() {
		line += fmt.Sprintf(" map from %s to %s", typeOf(field.MapKey()), typeOf(field.MapValue()))
	}
	if field.IsPacked() {
		line += " packed"
	}
	if field.HasPresence() {
		line += " presence"
	}
	if oneof := field.ContainingOneof(); oneof != nil {
		line += " oneof " + string(oneof.Name())
	}
	return line
}

func typeOf(field protoreflect.FieldDescriptor) string {
	switch {
	case field.Message() != nil:
		return fmt.Sprintf("%s %s", field.Kind(), field.Message().FullName())
	case field.Enum() != nil:
		return fmt.Sprintf("%s %s", field.Kind(), field.Enum().FullName())
	}
	return field.Kind().String()
}

func describeEnums(enums protoreflect.EnumDescriptors) []string {
	var lines []string
	for i := range enums.Len() {
		enum := enums.Get(i)
		lines = append(lines, fmt.Sprintf("enum %s", enum.FullName()))
		for j := range enum.Values().Len() {
			value := enum.Values().Get(j)
			lines = append(lines, fmt.Sprintf("value %s/%s = %d", enum.FullName(), value.Name(), value.Number()))
		}
	}
	return lines
}

func describeService(service protoreflect.ServiceDescriptor) []string {
	lines := []string{fmt.Sprintf("service %s", service.FullName())}
	for i := range service.Methods().Len() {
		method := service.Methods().Get(i)
		lines = append(lines, fmt.Sprintf("method %s (%s streams %t) (%s streams %t)", method.FullName(),
			method.Input().FullName(), method.IsStreamingClient(), method.Output().FullName(), method.IsStreamingServer()))
	}
	return lines
}

// Programs of different versions talk to each other and read each other's files, so neither a number nor a name may
// change unseen. A field that is added on purpose is written with -update-schema.
func TestTheSchemaIsTheOneThatOtherVersionsKnow(t *testing.T) {
	described := describe(schemaFiles())
	if *updateSchema {
		if err := os.WriteFile(schemaPath, []byte(described), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(schemaPath)
	if err != nil {
		t.Fatal(err)
	}
	now, before := strings.Split(described, "\n"), strings.Split(string(golden), "\n")
	for _, line := range before {
		if !slices.Contains(now, line) {
			t.Errorf("gone: %s", line)
		}
	}
	for _, line := range now {
		if !slices.Contains(before, line) {
			t.Errorf("new: %s", line)
		}
	}
	if described != string(golden) && !t.Failed() {
		t.Errorf("the description has %d lines, %s has %d", len(now), schemaPath, len(before))
	}
}

// The golden is worth only as much as the description shows, so each kind of change is tried on a copy of a file.
func TestADescriptionShowsEachChangeOfASchema(t *testing.T) {
	const changedPath = "rosestand/v1/ledger.proto"
	field := func(file *descriptorpb.FileDescriptorProto) *descriptorpb.FieldDescriptorProto {
		return messageOf(file, "Turn").GetField()[0]
	}
	changes := map[string]func(*descriptorpb.FileDescriptorProto){
		"number of a field":    func(file *descriptorpb.FileDescriptorProto) { field(file).Number = proto.Int32(99) },
		"name of a field":      func(file *descriptorpb.FileDescriptorProto) { field(file).Name = new("renamed") },
		"JSON name of a field": func(file *descriptorpb.FileDescriptorProto) { field(file).JsonName = new("renamed") },
		"type of a field": func(file *descriptorpb.FileDescriptorProto) {
			field(file).Type = descriptorpb.FieldDescriptorProto_TYPE_BYTES.Enum()
		},
		"label of a field": func(file *descriptorpb.FileDescriptorProto) {
			field(file).Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		},
		"message of a field": func(file *descriptorpb.FileDescriptorProto) {
			messageOf(file, "SettleTurn").GetField()[4].TypeName = new(".rosestand.v1.Item")
		},
		"field outside of its oneof": func(file *descriptorpb.FileDescriptorProto) {
			messageOf(file, "StoreRecord").GetField()[1].OneofIndex = nil
		},
		"field removed": func(file *descriptorpb.FileDescriptorProto) {
			message := messageOf(file, "Turn")
			message.Field = message.GetField()[1:]
		},
		"name of a message": func(file *descriptorpb.FileDescriptorProto) {
			messageOf(file, "ReadProgram").Name = new("Renamed")
			for _, field := range messageOf(file, "LedgerOperation").GetField() {
				if field.GetTypeName() == ".rosestand.v1.ReadProgram" {
					field.TypeName = new(".rosestand.v1.Renamed")
				}
			}
		},
		"number of a value": func(file *descriptorpb.FileDescriptorProto) {
			file.GetEnumType()[0].GetValue()[1].Number = proto.Int32(99)
		},
		"name of a value": func(file *descriptorpb.FileDescriptorProto) {
			file.GetEnumType()[0].GetValue()[1].Name = new("RENAMED")
		},
	}
	original, err := protoregistry.GlobalFiles.FindFileByPath(changedPath)
	if err != nil {
		t.Fatal(err)
	}
	before := describe([]protoreflect.FileDescriptor{original})
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			copied := protodesc.ToFileDescriptorProto(original)
			change(copied)
			changed, err := protodesc.NewFile(copied, protoregistry.GlobalFiles)
			if err != nil {
				t.Fatal(err)
			}
			if describe([]protoreflect.FileDescriptor{changed}) == before {
				t.Error("the description is the same")
			}
		})
	}
}

func messageOf(file *descriptorpb.FileDescriptorProto, name string) *descriptorpb.DescriptorProto {
	for _, message := range file.GetMessageType() {
		if message.GetName() == name {
			return message
		}
	}
	return nil
}
