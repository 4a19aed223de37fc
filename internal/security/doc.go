// Package security checks the bearer tokens of peers. Each kind of peer
// (operators, nodes, upstreams) has its own token file.
//
// A file holds one token per line, alone or as "name:token"; empty lines and lines
// that start with '#' are skipped. A token has 16 to 512 bytes of letters, digits
// and "-._~+/=". Without tokens to check against:
//
//   - if the settings name no file, the listener is open and nothing is checked;
//   - if the file is missing, unreadable or invalid at startup, Open fails;
//   - if it becomes so later, the tokens read last stay valid and a counter is
//     incremented;
//   - if the file is valid but holds no tokens, every request is refused.
//
// The first token is the one that this process sends to peers of the same kind. To
// replace a token without interruption, add the new one as the last line
// everywhere, then move it to the first line everywhere, then remove the old one.
package security
