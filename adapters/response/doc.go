// Package response reads the headers and trailers of HTTP/1 responses for all clients of the mesh. It
// rejects what the HTTP library reads leniently and what would then reach a client with another status
// or body than the server sent: status codes outside 100 to 599, versions other than HTTP/1 and names
// of fields that are no tokens. A proxy answers 502 instead (RFC 9110, section 15.6.3).
package response
