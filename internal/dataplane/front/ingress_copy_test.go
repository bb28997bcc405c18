package front_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/rosestand/rosestand/internal/dataplane/front"
	"github.com/rosestand/rosestand/internal/protocol"
)

func TestRequestCopyIncludesEveryField(t *testing.T) {
	request := &protocol.TurnRequest{}
	message := request.ProtoReflect()
	fields := message.Descriptor().Fields()
	for at := range fields.Len() {
		field := fields.Get(at)
		switch {
		case field.IsList():
			message.Mutable(field).List().AppendMutable()
		case field.Kind() == protoreflect.MessageKind:
			message.Mutable(field)
		case field.Kind() == protoreflect.StringKind:
			message.Set(field, protoreflect.ValueOfString("x"))
		case field.Kind() == protoreflect.BoolKind:
			message.Set(field, protoreflect.ValueOfBool(true))
		case field.Kind() == protoreflect.EnumKind:
			message.Set(field, protoreflect.ValueOfEnum(1))
		case field.Kind() == protoreflect.Uint32Kind:
			message.Set(field, protoreflect.ValueOfUint32(1))
		case field.Kind() == protoreflect.Uint64Kind:
			message.Set(field, protoreflect.ValueOfUint64(1))
		default:
			t.Fatalf("the test knows no value for %s", field.FullName())
		}
	}
	if copied := front.ShallowCopy(request); !proto.Equal(copied, request) {
		t.Fatalf("copied %v\nof     %v", copied, request)
	}
}
