#pragma once

#include "http.h"

namespace review {

struct Answer {
    // 0 if the connection ended without a head.
    int status = 0;
    // Whether the whole answer arrived.
    bool complete = false;
    // Whether the client gave up at its deadline.
    bool timedOut = false;
    // Whether the request was written whole to an open connection.
    bool sent = false;
    Message message;
    Clock::time_point sentAt {};
    Clock::time_point endedAt {};
};

struct Request {
    std::string method = "GET";
    std::string target;
    std::string host;
    std::string attempt;
    std::string key;
    Milliseconds deadline { 1500 };
    std::string body;
    // Further header lines, each with its line end.
    std::string headers;
};

inline std::string textOf(const Request& request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + request.host
        + "\r\nX-Attempt-Id: " + request.attempt + "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count())
        + "\r\n" + request.headers;
    if (!request.key.empty())
        text += "Authorization: Token " + request.key + "\r\n";
    if (request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

// Sends one request on this connection and reads its answer until the deadline.
inline Answer sendOn(Connection& connection, const Request& request)
{
    Answer answer { .sentAt = Clock::now() };
    connection.setDeadline(answer.sentAt + request.deadline);
    answer.sent = connection.write(textOf(request));
    if (answer.sent && connection.readHead(answer.message)) {
        answer.status = answer.message.status();
        answer.complete = connection.readBody(answer.message, true);
    }
    answer.timedOut = connection.timedOut();
    answer.endedAt = Clock::now();
    return answer;
}

// Sends one request on a new connection and reads its answer until the deadline.
inline Answer send(const Endpoint& to, const Request& request)
{
    const auto connection = Connection::open(to, Milliseconds(1000));
    if (connection)
        return sendOn(*connection, request);
    const auto now = Clock::now();
    return { .sentAt = now, .endedAt = now };
}

}
