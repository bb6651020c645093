#pragma once

#include "protocol/HttpMessage.h"

#include <string>
#include <vector>

namespace Knapweedquay {

/// Collects the names of response headers that this node passes on without giving them a meaning.
///
/// A header of a backend server whose name does not match the settings would otherwise be ignored unnoticed. Each name
/// is reported once, and only a limited number of names, since backend servers choose them.
class UnreadHeaders {
public:
    /// known: names of the headers that the node reads.
    explicit UnreadHeaders(std::vector<std::string> known);

    /// Returns the names in the response that are to be reported.
    std::vector<std::string> add(const HttpHeaders&);

private:
    /// Names that are known or were reported.
    std::vector<std::string> m_names;
    std::size_t m_maximumNames;
};

} // namespace Knapweedquay
