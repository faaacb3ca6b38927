package connector

import (
	"bufio"
	"context"
	"crypto/sha1" // RFC 6455 names SHA-1 for the accept key.
	"encoding/base64"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// acceptSuffix is the constant that RFC 6455 appends to the Sec-WebSocket-Key
// header.
const acceptSuffix = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

// Upgrade upgrades the connection of an HTTP request to a WebSocket and passes
// it to serve, which owns the connection until it returns. A request without the
// Sec-WebSocket-Key header is answered with status 400.
func Upgrade(c *app.RequestContext, serve func(ctx context.Context, conn net.Conn, r *bufio.Reader)) {
	key := c.Request.Header.Get("Sec-WebSocket-Key")
	if key == "" {
		c.String(consts.StatusBadRequest, "this path takes WebSocket links only\n")
		return
	}
	sum := sha1.Sum([]byte(key + acceptSuffix))
	c.Response.Header.Set("Upgrade", "websocket")
	c.Response.Header.Set("Connection", "Upgrade")
	c.Response.Header.Set("Sec-WebSocket-Accept", base64.StdEncoding.EncodeToString(sum[:]))
	c.SetStatusCode(consts.StatusSwitchingProtocols)
	c.Hijack(func(conn network.Conn) {
		serve(context.Background(), conn, bufio.NewReaderSize(conn, readBufferBytes))
	})
}
