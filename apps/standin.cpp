#include "fireflyhaven/common/json.h"
#include "fireflyhaven/config/configfold.h"
#include "fireflyhaven/http/server.h"
#include "fireflyhaven/settings/optionparser.h"
#include "fireflyhaven/standin/platformstandin.h"
#include "fireflyhaven/standin/upstreamstandin.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace fireflyhaven;

namespace {

struct StandinSettings {
    std::string platformIp;
    std::uint16_t platformPort = 0;
    std::string listsFile;
    long retention = 1'000'000;
};

http::Response refuse(int status, const std::string& code, const std::string& message)
{
    const nlohmann::json body { { "code", code }, { "message", message } };
    return { .status = status, .headers = {}, .body = body.dump(), .stream = {} };
}

Result<config::Lists> readLists(const std::string& file)
{
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    const auto document = parseJson(text.str());
    std::vector<config::ValidationError> errors;
    config::Lists lists = config::parseLists(document.value_or(nlohmann::json()), errors);
    if (!errors.empty())
        return failure(ErrorCode::InvalidArgument, file + ": " + errors[0].path + ": expected " + errors[0].expected);
    return lists;
}

class StandinServers {
public:
    Result<void> start(const StandinSettings& settings)
    {
        if (settings.platformPort != 0) {
            m_platform
                = std::make_unique<standin::PlatformStandin>(static_cast<std::size_t>(settings.retention), m_clock);
            const auto handler = [this](const http::Request& it) { return m_platform->handle(it); };
            BOOST_LEAF_CHECK(listen(settings.platformIp, settings.platformPort, handler));
        }
        if (settings.listsFile.empty())
            return {};
        BOOST_LEAF_AUTO(lists, readLists(settings.listsFile));
        for (const auto& [id, item] : lists.upstreams) {
            auto upstream = std::make_shared<standin::UpstreamStandin>(id.value(), item.value, m_clock);
            const auto handler = [upstream](const http::Request& it) { return upstream->handle(it); };
            BOOST_LEAF_CHECK(listen(item.value.ip, item.value.port, handler));
        }
        return {};
    }

private:
    Result<void> listen(const std::string& ip, std::uint16_t port, http::Handler handler)
    {
        constexpr std::size_t MAX_BODY_BYTES = 64 * 1024 * 1024;
        const http::ServerOptions options { .ip = ip, .port = port, .maxBodyBytes = MAX_BODY_BYTES };
        BOOST_LEAF_AUTO(server, http::Server::start(options, std::move(handler), refuse));
        m_servers.push_back(std::move(server));
        return {};
    }

    SystemClock m_clock;
    std::unique_ptr<standin::PlatformStandin> m_platform;
    std::vector<std::unique_ptr<http::Server>> m_servers;
};

Result<int> run(int argc, char** argv)
{
    StandinSettings settings;
    const std::vector<settings::Option> options {
        { "platform", "IP:PORT", "Address on which to serve the platform's log, host list and rating service.",
            settings::setAddress(settings.platformIp, settings.platformPort) },
        { "lists", "FILE", "Lists document; each of its upstreams is served at its address.",
            settings::setText(settings.listsFile) },
        { "retention", "RECORDS", "Number of records that each log stream retains.",
            settings::setInteger(settings.retention, 1, 100'000'000) },
    };
    const settings::Usage usage { .program = "fireflyhaven-standin",
        .synopsis = "--platform=IP:PORT --lists=FILE",
        .description = "Simulates the platform and upstreams. POST /fault on any address configures its faults." };
    BOOST_LEAF_AUTO(parsed, settings::parseOptions(argc, argv, usage, options));
    if (parsed.end != settings::ParseOutcome::Run)
        return 0;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    StandinServers servers;
    BOOST_LEAF_CHECK(servers.start(settings));
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

}

int main(int argc, char** argv)
{
    return handleFailure([&] { return run(argc, argv); },
        [](const Failure& it) {
            std::cerr << "fireflyhaven-standin: " << it.message << "\n";
            return it.code == ErrorCode::InvalidArgument ? 2 : 1;
        });
}
