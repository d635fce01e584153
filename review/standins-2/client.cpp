#include "client.h"

#include <unistd.h>

namespace review {

std::string Outcome::text() const
{
    if (status == 0)
        return "no answer, connection " + std::string(end == Reader::End::TimedOut ? "silent" : "closed");
    return "status " + std::to_string(status) + ", " + std::to_string(body.size()) + " bytes, "
        + (isComplete ? "complete" : "incomplete");
}

std::string encode(const ClientRequest& request)
{
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\nHost: small.example\r\nX-Attempt-Id: "
        + request.attempt + "\r\nX-Deadline-Ms: " + std::to_string(request.deadlineMs) + "\r\nAuthorization: Token "
        + request.key + "\r\n";
    for (const auto& [name, value] : request.more)
        out += name + ": " + value + "\r\n";
    if (request.method != "GET")
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return out + "\r\n" + request.body;
}

Outcome call(const Address& host, const ClientRequest& request)
{
    Outcome it;
    const int fd = connectTo(host, 1000);
    if (fd < 0) {
        it.end = Reader::End::Closed;
        return it;
    }
    Reader reader(fd);
    Message response;
    it.end = sendAll(fd, encode(request)) ? reader.read(response, true, nowMs() + request.deadlineMs + 1000)
                                          : Reader::End::Reset;
    it.status = response.status();
    it.isComplete = it.end == Reader::End::Complete;
    it.retryAfter = response.header("Retry-After");
    it.body = response.body;
    close(fd);
    return it;
}

}
