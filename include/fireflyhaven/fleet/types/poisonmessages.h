#pragma once

#include "fireflyhaven/fleet/types/hostreport.h"

#include <optional>

namespace fireflyhaven::fleet {

// Position of a suspect that is the request as a whole.
constexpr std::uint8_t WHOLE_REQUEST = UINT8_MAX;

// A part of the prompt of a request that was in flight at a crash, or that request as a whole: the id is then its
// digest.
struct SuspectPart {
    PromptPartId part;
    // Number of parts before it in the prompt, or `WHOLE_REQUEST`.
    std::uint8_t position = 0;

    bool isWholeRequest() const { return position == WHOLE_REQUEST; }

    friend bool operator==(const SuspectPart&, const SuspectPart&) = default;
    template <typename Archive> void serialize(Archive& archive) { archive(part, position); }
};

// What one host has lost at the crash of an upstream: the parts of the requests that had not begun their answers.
struct CrashReport {
    HostId reporter;
    ShortHash upstream = 0;
    // Start of the upstream's incarnation, in Unix milliseconds.
    std::int64_t startedAtMs = 0;
    // Time since the first of the requests was lost.
    std::uint32_t ageMs = 0;
    ShortList<SuspectPart> parts;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(reporter, upstream, startedAtMs, ageMs, parts);
    }
};

// An incarnation of an upstream that has answered a request that was sent after its reported crash.
struct SignOfLife {
    ShortHash upstream = 0;
    std::int64_t startedAtMs = 0;
    // Time since the answered request was sent.
    std::uint32_t sentAgeMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(upstream, startedAtMs, sentAgeMs); }
};

// A part that was answered without a crash.
struct PartClearance {
    PromptPartId part;
    // Time since the answer began.
    std::uint32_t ageMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(part, ageMs); }
};

// A crash that convicted a part, and a host that lost a request there.
struct CrashWitness {
    ShortHash upstream = 0;
    HostId reporter;

    template <typename Archive> void serialize(Archive& archive) { archive(upstream, reporter); }
};

// A part whose requests are refused.
struct PartVerdict {
    PromptPartId part;
    HostId convictedBy;
    // Time since the last crash that the verdict rests on.
    std::uint32_t crashAgeMs = 0;
    // Time since a request with the part was last received by any host.
    std::uint32_t idleMs = 0;
    // One for each crash that the verdict rests on.
    ShortList<CrashWitness> crashes;

    template <typename Archive> void serialize(Archive& archive)
    {
        archive(part, convictedBy, crashAgeMs, idleMs, crashes);
    }
};

// Requests with a convicted part, or convicted ones, that were sent to find out whether upstreams still crash.
struct VerdictTrials {
    PromptPartId part;
    std::uint8_t trials = 0;
    // Time since the latest was sent.
    std::uint32_t ageMs = 0;

    template <typename Archive> void serialize(Archive& archive) { archive(part, trials, ageMs); }
};

// What the sender, or hosts that report to it, know of crashes and of the parts that cause them.
struct PoisonNotices {
    HostId from;
    DataCentreId dataCentre;
    ShortList<CrashReport> crashes;
    ShortList<SignOfLife> signsOfLife;
    ShortList<PartClearance> clearances;
    ShortList<PartVerdict> verdicts;
    // The verdicts that are on whole requests. Not in the messages of older builds, which end before it.
    ShortList<PromptPartId> convictedRequests;
    // The verdicts that were put to the test. Not in the messages of older builds either.
    ShortList<VerdictTrials> trials;

    bool empty() const
    {
        return crashes.items.empty() && signsOfLife.items.empty() && clearances.items.empty() && verdicts.items.empty();
    }
    template <typename Archive> void serialize(Archive& archive)
    {
        archive(from, dataCentre, crashes, signsOfLife, clearances, verdicts);
    }
};

std::string encodePoisonNotices(const PoisonNotices& notices);
// Returns no value if the datagram is malformed or of another kind.
std::optional<PoisonNotices> decodePoisonNotices(const std::string& datagram);

}
