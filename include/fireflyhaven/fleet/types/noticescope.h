#pragma once

namespace fireflyhaven::fleet {

// Where a host has learned something that all hosts are to know.
enum class NoticeSource { ThisHost, OwnDataCentre, OtherDataCentre };

// What a host tells others of it: how far it has come on its way from the host that learned it first.
enum class NoticeScope {
    // What this host has learned by itself.
    Host,
    // That, and what other hosts of the data centre have told.
    DataCentre,
    // All that is known.
    Fleet,
};

// Whether a notice from this source is told within the scope.
bool isInScope(NoticeSource source, NoticeScope scope);

}
