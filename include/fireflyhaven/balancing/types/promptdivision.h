#pragma once

namespace fireflyhaven::balancing {

// Whether the upstreams of a service are divided between long and short prompts.
enum class PromptDivision {
    Never,
    // Where a route of the service can give way to a more urgent one, or upstreams report how long work takes there.
    WhereConfigured,
    Always,
};

}
