// Package security checks the bearer tokens of one kind of peer (operators,
// nodes, upstreams), each kind against a file of its own.
//
// A file holds one token a line, bare or as "name:token"; empty lines and
// lines that start with '#' are skipped. A token is 16 to 512 bytes of
// letters, digits and "-._~+/=". The rules for a file that gives no tokens:
//
//   - no file named in the settings: the listener is open, nothing is checked;
//   - a file that is missing, unreadable or invalid at start: an error;
//   - the same while running: the tokens read last stay in force, counted;
//   - a valid file without tokens: every request is refused.
//
// The first token is the one which this process sends to others of the same
// kind, so a token is replaced without a gap: add the new one as the last
// line everywhere, then move it to the first line everywhere, then remove
// the old one.
package security
