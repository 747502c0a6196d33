// Package httpconn makes HTTP/1.1 requests whose responses are known to belong to them.
//
// HTTP/1.1 assigns a response to a request by its place on the connection alone. A server, or a device between, that
// sends a response twice, or bytes that answer no request, shifts that assignment for all later requests on the
// connection, and no check before a request can exclude it, because the bytes may arrive after the check. Therefore a
// connection carries a single request, which asks the server to close the connection after its response, and the
// client reads until that close. Only then is it known that the server sent one response, or several equal ones, and
// that it belongs to the request. Until then a response proves nothing: see Doubt.
//
// The package owns the sockets and their buffers. It must not decide what a doubtful response means: its callers do.
package httpconn
