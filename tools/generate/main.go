// Command generate generates the Go code of the messages between processes from
// internal/wire/burdockwire/burdockwire.proto. tools/go.mod pins the plugins, and
// protoc isn't needed. Run it in tools/ and commit its output.
package main

import (
	"bytes"
	"context"
	"fmt"
	"go/format"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const protoFile = "internal/wire/burdockwire/burdockwire.proto"

// plugin is a code generator that implements protoc's plugin protocol.
type plugin struct {
	path      string // import path
	parameter string
}

var plugins = []plugin{
	{"google.golang.org/protobuf/cmd/protoc-gen-go", "paths=source_relative"},
	{"connectrpc.com/connect/cmd/protoc-gen-connect-go", "paths=source_relative,package_suffix="},
}

func main() {
	if err := generate(".."); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

func generate(root string) error {
	file, err := compile(root)
	if err != nil {
		return err
	}
	for _, p := range plugins {
		files, err := p.run(file)
		if err != nil {
			return fmt.Errorf("%s: %w", p.path, err)
		}
		for _, f := range files {
			if err := writeFormatted(filepath.Join(root, f.GetName()), f.GetContent()); err != nil {
				return err
			}
		}
	}
	return nil
}

func compile(root string) (*descriptorpb.FileDescriptorProto, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{root}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), protoFile)
	if err != nil {
		return nil, err
	}
	return protoutil.ProtoFromFileDescriptor(files[0]), nil
}

func (p plugin) run(file *descriptorpb.FileDescriptorProto) ([]*pluginpb.CodeGeneratorResponse_File, error) {
	in, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{protoFile}, Parameter: &p.parameter, ProtoFile: []*descriptorpb.FileDescriptorProto{file},
	})
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("go", "run", p.path)
	cmd.Stdin, cmd.Stderr = bytes.NewReader(in), os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, err
	}
	var res pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &res); err != nil {
		return nil, err
	}
	if res.Error != nil {
		return nil, fmt.Errorf("%s", res.GetError())
	}
	return res.GetFile(), nil
}

func writeFormatted(path, content string) error {
	formatted, err := format.Source([]byte(content))
	if err != nil {
		return err
	}
	return os.WriteFile(path, formatted, 0o644)
}
