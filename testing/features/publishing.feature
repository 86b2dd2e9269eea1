Feature: Publishers learn the truth and no accepted change is undone

  Scenario Outline: Publishers race while <events> happen
    Given publishers that race over a store with <kinds>
    Then in every race
      | guarantee                                                |
      | entries agree with the store in the end                  |
      | no publisher is told anything untrue                         |
      | no accepted change is replaced except by a later one     |

    Examples:
      | events                     | kinds                                  |
      | faults of single calls     | steps, faults, gossip                  |
      | rewinds of the store       | steps, rewinds, gossip                 |
      | faults, delays and rewinds | steps, faults, delays, rewinds, gossip |

  Scenario Outline: Publishers race over a store that is never rewound with <kinds>
    Given publishers that race over a store with <kinds>
    Then in every race
      | guarantee                                                |
      | no publisher is told anything untrue                         |
      | a publisher whose change is recorded is told so          |
      | no publisher replaces a service that changed after it looked |

    Examples:
      | kinds                         |
      | steps                         |
      | steps, faults, delays, gossip |

  Scenario Outline: A publisher whose calls end as <calls> is told <told>
    Given one publisher whose calls end as <calls>
    When a delayed write arrives afterwards
    Then it is told <told> and its change is <state>

    Examples:
      | calls                                             | told        | state        |
      | read, response lost, read                         | in-force    | recorded     |
      | read, request lost, read, none                    | in-force    | recorded     |
      | read, delayed, refused, refused                   | unknown     | recorded     |
      | read, request lost, refused, refused              | unknown     | not recorded |
      | refused, refused, refused                         | unavailable | not recorded |
