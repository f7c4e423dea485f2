// Command protogen regenerates the committed protobuf and drpc code of internal/pb.
// It compiles the .proto file in process, so that no protoc binary is needed, and runs the
// two generator plugins that go.mod lists as tools.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const (
	directory = "internal/pb"
	source    = "amaranth.proto"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run() error {
	request, err := compile()
	if err != nil {
		return err
	}
	plugins := []struct{ tool, parameter string }{
		{"protoc-gen-go", "paths=source_relative"},
		{"protoc-gen-go-drpc", "paths=source_relative"},
	}
	for _, plugin := range plugins {
		if err := generate(request, plugin.tool, plugin.parameter); err != nil {
			return fmt.Errorf("%s: %w", plugin.tool, err)
		}
	}
	return nil
}

// compile parses the source file into a plugin request.
func compile() (*pluginpb.CodeGeneratorRequest, error) {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{directory}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), source)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: []string{source}}
	for _, file := range files {
		request.ProtoFile = append(request.ProtoFile, []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(file)}...)
	}
	return request, nil
}

// generate runs one plugin and writes the files that it returns.
func generate(request *pluginpb.CodeGeneratorRequest, tool, parameter string) error {
	request.Parameter = proto.String(parameter)
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	command := exec.Command("go", "tool", tool)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, file := range response.File {
		path := filepath.Join(directory, file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
