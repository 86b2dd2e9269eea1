Feature: Publishers get a correct outcome and no accepted change is lost

  Scenario Outline: Publishers race during <events>
    Given publishers that race over a store with <kinds>
    Then these invariants hold in every race
      | invariant                                          |
      | all entries end with the stored document           |
      | no publisher gets a wrong outcome                  |
      | an accepted change is replaced only by a later one |

    Examples:
      | events                     | kinds                                  |
      | faults of single calls     | steps, faults, gossip                  |
      | rewinds of the store       | steps, rewinds, gossip                 |
      | faults, delays and rewinds | steps, faults, delays, rewinds, gossip |

  Scenario Outline: Publishers race over a store that is never rewound with <kinds>
    Given publishers that race over a store with <kinds>
    Then these invariants hold in every race
      | invariant                                                         |
      | no publisher gets a wrong outcome                                 |
      | a publisher whose change is recorded gets the outcome in-force    |
      | no publisher replaces a service that changed after its first read |

    Examples:
      | kinds                         |
      | steps                         |
      | steps, faults, delays, gossip |

  Scenario Outline: A publisher whose calls end as <calls> gets the outcome <outcome>
    Given one publisher whose calls end as <calls>
    When a delayed write arrives afterwards
    Then the publisher gets the outcome <outcome> and its change is <state>

    Examples:
      | calls                                | outcome     | state        |
      | read, response lost, read            | in-force    | recorded     |
      | read, request lost, read, none       | in-force    | recorded     |
      | read, delayed, refused, refused      | unknown     | recorded     |
      | read, request lost, refused, refused | unknown     | not recorded |
      | refused, refused, refused            | unavailable | not recorded |
