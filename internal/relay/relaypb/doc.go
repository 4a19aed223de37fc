// Package relaypb is the generated code of the calls by which the leader has
// other core VMs call workers. The generated files are committed, so that a
// build needs no generator. To generate them anew, with protoc on the path:
//
//	go build -o /tmp/bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//	PATH=/tmp/bin:$PATH go generate ./internal/relay/relaypb
package relaypb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative relay.proto
