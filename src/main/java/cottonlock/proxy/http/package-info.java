/**
 * HTTP/1.1 messages on blocking sockets: {@link cottonlock.proxy.http.HttpReader} parses them
 * strictly and within deadlines, {@link cottonlock.proxy.http.HttpWriter} writes them, {@link
 * cottonlock.proxy.http.MessageBody} holds bodies in pooled buffers and files. The package does not
 * depend on backends, clients or decisions.
 */
package cottonlock.proxy.http;
