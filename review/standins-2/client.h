#pragma once

#include "deployment.h"

namespace review {

// What a client has seen of its answer.
struct Outcome {
    // 0 if no complete head arrived.
    int status = 0;
    bool isComplete = false;
    std::string retryAfter;
    std::string body;
    Reader::End end = Reader::End::Complete;

    std::string text() const;
};

struct ClientRequest {
    std::string attempt;
    std::string method = "POST";
    std::string target;
    std::string key = "key-a1";
    std::string body;
    int deadlineMs = 15'000;
    Headers more {};
};

// The request as it is sent.
std::string encode(const ClientRequest& request);
// Sends one request on a connection of its own and waits for its whole answer.
Outcome call(const Address& host, const ClientRequest& request);

}
