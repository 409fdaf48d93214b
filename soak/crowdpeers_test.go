package soak

import (
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Strangers at the ports for other nodes, who open a WebSocket and have no key.

// upgrade opens a WebSocket at a peer port.
const upgrade = "GET /v1/peer HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n"

// peerFrameBytes is the longest message between nodes.
const peerFrameBytes = 512 << 10

// binaryFrame returns the header of a masked binary message of n bytes.
func binaryFrame(n int) string {
	header := binary.BigEndian.AppendUint64([]byte{0x82, 0x80 | 127}, uint64(n))
	return string(header) + "\x00\x00\x00\x00"
}

// peerPorts returns the addresses of the ports for other nodes.
func (c *crowd) peerPorts() (addresses []string) {
	for _, n := range c.nodes {
		addresses = append(addresses, n.peer)
	}
	return addresses
}

// First messages as long as any message may be that stop just short of their end.
func TestCrowdOfLongHellos(t *testing.T) {
	c := startCrowdVMs(t, crowdNodes, crowdMemoryMB, commonMaxFDs)
	hello := upgrade + binaryFrame(peerFrameBytes) + strings.Repeat("x", peerFrameBytes-shortOf)
	c.sendTo(t, c.peerPorts(), silentCrowdSize, series(func(c *caller) {
		writeText(c, hello)
		c.awaitClose()
	}))
	c.check(t)
}

// WebSockets that say nothing. A node that starts amid them connects to the others, as
// without that it can't pass on what its callers want.
func TestCrowdOfSilentWebSockets(t *testing.T) {
	c := startCrowdVMs(t, crowdNodes, crowdMemoryMB, commonMaxFDs)
	owner := c.judge.Owner(queues[0].service)
	c.disturb(t, func() {
		time.Sleep(seriesTime / 4)
		for _, n := range c.nodes {
			if n.name == owner {
				continue
			}
			n.Kill()
			if !assert.NoError(t, n.Start()) || !assert.NoError(t, n.awaitReady()) {
				return
			}
			client := c.NewClient(c.options.random(streamScenarios))
			defer client.Close()
			assert.Eventually(t, func() bool {
				status, _ := client.Submit(t.Context(), n, queues[0], "00000000000000ab", NewJob(time.Millisecond, 0, 1))
				return status/100 == 2
			}, readyTimeout, maxRetryDelay, "%s can't reach %s", n.name, owner)
			return
		}
	})
	c.sendTo(t, c.peerPorts(), silentCrowdSize, series(func(c *caller) {
		writeText(c, upgrade)
		c.awaitClose()
		time.Sleep(strangerPause)
	}))
	c.check(t)
}

// strangerPause is how long a stranger waits before it comes again.
const strangerPause = 500 * time.Millisecond

// awaitClose waits until the node closes the connection, and connects anew.
func (c *caller) awaitClose() {
	for buffer := make([]byte, 1<<10); ; {
		if _, err := c.Read(buffer); err != nil {
			break
		}
	}
	c.reconnect()
}
