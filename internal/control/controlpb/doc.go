// Package controlpb is the generated code of the calls by which entry VMs and
// core VMs reach the leader. The generated files are committed, so that a
// build needs no generator. To generate them anew, with protoc on the path:
//
//	go build -o /tmp/bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//	PATH=/tmp/bin:$PATH go generate ./internal/control/controlpb
package controlpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative control.proto
