#include "socketoptions.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace fireflyhaven::http {

namespace {

void setOption(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof(value)); }

}

void setSocketOptions(int fd, Duration userTimeout)
{
    constexpr int PROBE_IDLE_SECONDS = 1;
    constexpr int PROBE_INTERVAL_SECONDS = 1;
    constexpr int PROBE_COUNT = 2;
    setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_SECONDS);
    setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS);
    setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, PROBE_COUNT);
    setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(userTimeout.count()));
}

}
